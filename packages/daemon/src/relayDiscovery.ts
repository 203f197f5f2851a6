/** Connects peer discovery to the parts of a daemon whose state its row records. */
import { type DelimiterHistory } from '@cleatquay/calls';
import { type Clock, type Random } from '@cleatquay/clock';
import {
  type Departure,
  type DomainMembers,
  type Membership,
  PeerDiscovery,
  type PersistedState,
} from '@cleatquay/membership';
import { type Logger } from 'pino';
import { type PlatformContact } from './platformContact.js';
import { type PlatformAdapter } from './relayDaemon.js';
import { restoreUpstreams } from './restoreUpstreams.js';
import { type Upstreams } from './upstreams.js';

/** The parts of the daemon. */
export interface RelayDiscoveryOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly heartbeatMs: number;
  readonly adapter: Pick<PlatformAdapter, 'discoveryTable' | 'upstreams'>;
  readonly membership: Membership;
  readonly contact: PlatformContact;
  readonly domainMembers: DomainMembers;
  readonly delimiters: DelimiterHistory;
  readonly upstreams: Upstreams;
  /** Whether this daemon is one of the few of its failure domain that keep the table tidy. */
  readonly maintainsTable: () => boolean;
  readonly healthPath: (service: string) => string | undefined;
  readonly markLeaving: (departure: Departure) => Promise<void>;
  readonly log: Logger;
}

/** Creates the discovery of a daemon for unmodified callers. */
export function createRelayDiscovery(options: RelayDiscoveryOptions): PeerDiscovery {
  const { clock, random, adapter, membership, contact, domainMembers, delimiters, upstreams, log } = options;
  const discoveryLog = log.child({ part: 'meeting' });
  return new PeerDiscovery({
    clock,
    random,
    table: adapter.discoveryTable,
    membership,
    maintainsTable: options.maintainsTable,
    persisted: () => ({
      departures: upstreams.departures,
      upstreams: upstreams.identifiedUpstreams,
      ...delimiters.evidence,
    }),
    onRestore: recorded => restore(recorded, options),
    onRows: rows => {
      delimiters.setReported(rows.flatMap(({ delimitingServices }) => delimitingServices));
      domainMembers.setRows(rows);
    },
    onReachability: isReachable => contact.record(isReachable),
    log: (message, facts) => discoveryLog.info({ ...facts, platform: contact.facts }, `Meeting: ${message}`),
  });
}

/** Restores the upstreams, their shutdowns, and how they delimit responses, as an earlier process of this daemon recorded them. */
function restore(recorded: PersistedState, options: RelayDiscoveryOptions): void {
  const { clock, heartbeatMs, adapter, delimiters, upstreams, healthPath, markLeaving, log } = options;
  const { departures, upstreams: known, ...evidence } = recorded;
  delimiters.restore(evidence);
  for (const { instanceId, born } of departures) upstreams.markLeaving(instanceId, born);
  void restoreUpstreams(known, {
    clock,
    heartbeatMs,
    dialect: adapter.upstreams,
    healthPath,
    upstreamOf: service => upstreams.get(service),
    announce: announcement => upstreams.announce(announcement),
    markLeaving,
    log: (message, facts) => log.info(facts, `Upstreams: ${message}`),
  });
}
