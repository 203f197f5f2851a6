/** Settings of a daemon for unmodified callers. */
import { type FleetRetryBounds } from '@cleatquay/calls';
import { type QuotaDivision } from '@cleatquay/organisations';
import { type CoreSettings } from './daemonCore.js';

/** Addresses on the VM, and the limits that the daemon enforces. */
export interface RelaySettings extends CoreSettings {
  /** Listen address for callers and for the upstream's own calls, ip:port. */
  readonly callers: string;
  /** Port of metrics, status and dump. */
  readonly operatorPort: number;
  /** Service of the upstream on this VM. */
  readonly service: string;
  /** Interval of the announcements of upstreams, ms. */
  readonly heartbeatMs: number;
  /** Time from the termination signal until the process is killed, ms. */
  readonly graceMs: number;
  readonly retries: FleetRetryBounds;
  /**
   * Time after the revocation of a key within which every daemon has to stop accepting it, ms; undefined if that is
   * required only of daemons that can reach the others.
   */
  readonly revocationMs: number | undefined;
  /** How the quotas of organisations are divided among the fleet. */
  readonly quotas: QuotaDivision;
  readonly logLevel: string;
}
