/** Settings of a daemon that serves unchanged callers. */
import { type FleetRetryBounds } from '@cleatquay/calls';
import { type QuotaDivision } from '@cleatquay/organisations';
import { type CorePlace } from './core.js';

/** What such a daemon is told of its VM and of the bounds that it keeps. */
export interface RelaySettings extends CorePlace {
  /** ip:port for callers and for the upstream's calls. */
  readonly callers: string;
  /** Port of metrics, status and dump. */
  readonly operatorPort: number;
  /** Service of the upstream on this VM. */
  readonly service: string;
  /** How often upstreams announce themselves, ms. */
  readonly heartbeatMs: number;
  /** Time from the request to end until the process is killed, ms. */
  readonly graceMs: number;
  readonly retries: FleetRetryBounds;
  /** How long after it was taken away a key may be honoured by any daemon, ms; undefined where only daemons in contact have to keep up. */
  readonly revocationMs: number | undefined;
  /** How quotas of organisations are divided over the fleet. */
  readonly quotas: QuotaDivision;
  readonly logLevel: string;
}
