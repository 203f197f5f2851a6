/** Commands on running daemons, such as status, drain and explain, and waiting until a generation is active. */
import { type Clock } from '@cleatquay/clock';
import { Failure, type ResultName } from '@cleatquay/errors';
import { type DispositionCounts, type RequestDisposition } from '@cleatquay/organisations';
import { boundedText } from '@cleatquay/store';
import { request } from 'undici';
import { table } from './output.js';

const TIMEOUT_MS = 2000;
/** More than the dump of any daemon. */
const MAX_RESPONSE_BYTES = 67_108_864;
const POLL_INTERVAL_MS = 250;
/** Enough digits to distinguish the configurations of a fleet. */
const SHORT_DIGEST_LENGTH = 8;

interface MemberStatus {
  readonly address: string;
  readonly operatorAddress: string;
  readonly failureDomain: string;
  readonly state: string;
  readonly upstreams: { service: string; address: string; slots: number; draining: boolean }[];
}

/** Response of a daemon at /status. */
export interface DaemonStatus {
  readonly caller: string;
  readonly inner: string;
  readonly operator: string;
  readonly failureDomain: string;
  readonly generation: number;
  /** Digest of the content of the generation. */
  readonly digest: string;
  readonly upstreams: {
    service: string;
    draining: boolean;
    /** The limit that it reports, requests a second; absent if it reports none. */
    rateLimit?: number;
    /** Its load by its own latest report; absent if it reports none. */
    reported?: { running: number; waiting: number; slots: number; workTimePercent: number; ageMs: number };
    load: { inFlight: number; queued: number; limit: number; admissionLevel: number };
  }[];
  readonly members: MemberStatus[];
  readonly quarantine: QuarantinedRequest[];
}

/** A query of death: a request that crashed upstreams. */
interface QuarantinedRequest {
  readonly fingerprint: string;
  readonly isHeld: boolean;
  /** Unix ms. */
  readonly since: number;
  readonly starts: readonly string[];
  /** Method and path; empty if unknown. */
  readonly asks: string;
}

/** Commands on running daemons, which are reached by the operator address of one of them. */
export class FleetCommands {
  constructor(
    private readonly daemon: string,
    private readonly clock: Clock,
  ) {}

  /** Lists the state, load and configuration of each daemon. */
  async status(): Promise<string> {
    const { members } = await requestJson<DaemonStatus>(this.daemon, 'GET', '/status');
    const rows = await Promise.all(members.map(member => statusRow(member)));
    const head = [
      'daemon',
      'failure domain',
      'state',
      'generation',
      'content',
      'upstream',
      'in flight',
      'queued',
      'limit',
      'level',
      'rate limit',
      'work time',
      'reported',
    ];
    return table(
      head,
      rows.sort((a, b) => String(a[0]).localeCompare(String(b[0]))),
    );
  }

  /** Lists the members in the daemon's member table. */
  async members(): Promise<string> {
    const { members } = await requestJson<DaemonStatus>(this.daemon, 'GET', '/status');
    const rows = members.map(m => [m.address, m.operatorAddress, m.failureDomain, m.state.toLowerCase()]);
    return table(['daemon', 'operator address', 'failure domain', 'state'], rows);
  }

  /** Lists the upstreams of each service in the daemon's member table. */
  async routes(): Promise<string> {
    const { members } = await requestJson<DaemonStatus>(this.daemon, 'GET', '/status');
    const rows = members.flatMap(m =>
      m.upstreams.map(u => [
        u.service,
        u.address,
        m.address,
        m.failureDomain,
        u.draining ? 'draining' : m.state.toLowerCase(),
      ]),
    );
    return table(['service', 'upstream', 'daemon', 'failure domain', 'state'], rows.sort());
  }

  /** Counts the requests of each organisation by how they ended, over all daemons that respond. */
  async organisations(): Promise<string> {
    const { members } = await requestJson<DaemonStatus>(this.daemon, 'GET', '/status');
    const up = members.filter(({ state }) => state === 'ALIVE');
    const counts = await Promise.all(
      up.map(({ operatorAddress }) =>
        requestJson<Record<string, DispositionCounts>>(operatorAddress, 'GET', '/organisations').catch(
          () => undefined,
        ),
      ),
    );
    const responses = counts.filter(count => count !== undefined);
    const rows = organisationRows(responses);
    if (rows.length === 0) return 'No organisation has sent a request.';
    const head = ['organisation', 'sent', 'answered', 'over quota', 'refused', 'failed'];
    return `${table(head, rows)}\n${String(responses.length)} of ${String(up.length)} daemons answered.`;
  }

  /** Dumps the state of the daemon process. */
  async dump(): Promise<string> {
    return JSON.stringify(await requestJson(this.daemon, 'GET', '/dump'), undefined, 2);
  }

  /** Excludes the daemon's upstreams from routing, or includes them again. */
  async drain(draining: boolean): Promise<string> {
    await requestJson(this.daemon, 'POST', draining ? '/drain' : '/undrain');
    return draining
      ? 'Draining: its upstreams get no new requests.'
      : 'Undrained: its upstreams get new requests again.';
  }

  /** Lists the requests that are quarantined or were released, as known to the daemon. */
  async quarantine(): Promise<string> {
    const { quarantine } = await requestJson<DaemonStatus>(this.daemon, 'GET', '/status');
    if (quarantine.length === 0) return 'No request is quarantined.';
    const rows = quarantine.map(({ fingerprint, isHeld, since, starts, asks }) => [
      fingerprint,
      isHeld ? 'held' : 'released',
      new Date(since).toISOString(),
      starts.length,
      asks === '' ? '?' : asks,
    ]);
    return table(['fingerprint', 'state', 'since', 'crashes', 'request'], rows);
  }

  /** Releases a request from quarantine. */
  async release(fingerprint: string): Promise<string> {
    await requestJson(this.daemon, 'POST', `/release/${encodeURIComponent(fingerprint)}`);
    return `Released: ${fingerprint} may run again, on all daemons.`;
  }

  /** Collects the decision trace of a request from all daemons. */
  async explain(requestId: string): Promise<string> {
    const { members } = await requestJson<DaemonStatus>(this.daemon, 'GET', '/status');
    const rows = await Promise.all(members.map(member => explanationRows(member, requestId)));
    const sorted = rows.flat().sort((a, b) => (a[0] ?? '').localeCompare(b[0] ?? ''));
    return sorted.length > 0
      ? table(['at', 'daemon', 'request', 'decision', 'facts'], sorted)
      : 'No daemon has a decision trace of that request.';
  }

  /** Waits until every live member has this generation with this content, or a later one; throws an error that names the others after `timeoutMs`. */
  async waitFor(generation: number, digest: string, timeoutMs: number): Promise<string> {
    const end = this.clock.now() + timeoutMs;
    for (;;) {
      const missing = await this.membersWithout(generation, digest);
      if (missing.length === 0) return `Generation ${String(generation)} is active on all daemons.`;
      if (this.clock.now() >= end) {
        throw new Failure(`Not confirmed by ${missing.join(', ')}.`, { result: 'notInForce' });
      }
      await this.clock.sleep(POLL_INTERVAL_MS);
    }
  }

  private async membersWithout(generation: number, digest: string): Promise<string[]> {
    const { members } = await requestJson<DaemonStatus>(this.daemon, 'GET', '/status');
    const up = members.filter(member => member.state === 'ALIVE' || member.state === 'SUSPECT');
    const statuses = await Promise.all(up.map(member => fetchStatus(member)));
    const hasConfiguration = (status: DaemonStatus | undefined) =>
      status !== undefined &&
      (status.generation > generation || (status.generation === generation && status.digest === digest));
    return up.filter((_, i) => !hasConfiguration(statuses[i])).map(member => member.address);
  }
}

/** Sums the counts of all daemons, most requests first. */
function organisationRows(counts: readonly Record<string, DispositionCounts>[]): (string | number)[][] {
  const names = [...new Set(counts.flatMap(count => Object.keys(count)))];
  const sum = (name: string, disposition: RequestDisposition) =>
    counts.reduce((total, count) => total + (count[name]?.[disposition] ?? 0), 0);
  const rows = names.map(name => {
    const sums = (['answered', 'over-quota', 'refused', 'failed'] as const).map(disposition =>
      sum(name, disposition),
    );
    return [name, sums.reduce((total, count) => total + count, 0), ...sums];
  });
  return rows.sort((a, b) => Number(b[1]) - Number(a[1]));
}

async function fetchStatus({ operatorAddress }: MemberStatus): Promise<DaemonStatus | undefined> {
  return requestJson<DaemonStatus>(operatorAddress, 'GET', '/status').catch(() => undefined);
}

async function statusRow(member: MemberStatus): Promise<(string | number)[]> {
  const isDown = member.state === 'DEAD' || member.state === 'LEFT';
  const status = isDown ? undefined : await fetchStatus(member);
  const upstream = status?.upstreams[0];
  const state = upstream?.draining ? 'draining' : member.state.toLowerCase();
  const load = upstream?.load;
  const numbers = load
    ? [load.inFlight, load.queued, load.limit, load.admissionLevel.toFixed(2), upstream.rateLimit ?? 'none']
    : ['', '', '', '', ''];
  const reported = upstream?.reported;
  const workTime = reported?.workTimePercent ? `${String(reported.workTimePercent)} %` : '';
  return [
    member.address,
    member.failureDomain,
    state,
    status?.generation ?? '?',
    status?.digest.slice(0, SHORT_DIGEST_LENGTH) ?? '?',
    upstream?.service ?? '',
    ...numbers,
    workTime,
    reported ? `${String(reported.ageMs)} ms ago` : '',
  ];
}

async function explanationRows(member: MemberStatus, requestId: string): Promise<string[][]> {
  const path = `/explain/${encodeURIComponent(requestId)}`;
  const found = await requestJson<Record<string, { at: string; what: string; facts: object }[]>>(
    member.operatorAddress,
    'GET',
    path,
  ).catch(() => ({}));
  return Object.entries(found).flatMap(([id, decisions]) =>
    decisions.map(d => [d.at, member.address, id, d.what, formatFacts(d.facts)]),
  );
}

function formatFacts(facts: object): string {
  return Object.entries(facts)
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(' ');
}

async function requestJson<T>(operatorAddress: string, method: 'GET' | 'POST', path: string): Promise<T> {
  const { status, text } = await sendCommand(operatorAddress, method, path);
  if (status === 200) return parseResponse<T>(operatorAddress, text);
  const { result, message, field } = parseResponse<CommandError>(operatorAddress, text);
  throw new Failure(message, { result, field });
}

function parseResponse<T>(operatorAddress: string, text: string): T {
  try {
    return JSON.parse(text) as T;
  } catch (error) {
    const message = `The response from ${operatorAddress} is not JSON.`;
    throw new Failure(message, { result: 'daemonUnreachable', cause: error });
  }
}

/** Error response of a daemon to a command. */
interface CommandError {
  readonly result: ResultName;
  readonly message: string;
  readonly field?: string;
}

async function sendCommand(
  operatorAddress: string,
  method: 'GET' | 'POST',
  path: string,
): Promise<{ status: number; text: string }> {
  try {
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const response = await request(`http://${operatorAddress}${path}`, { method, signal });
    return { status: response.statusCode, text: await boundedText(response.body, MAX_RESPONSE_BYTES) };
  } catch (error) {
    if (error instanceof Failure) throw error;
    throw new Failure(`No response from ${operatorAddress}.`, { result: 'daemonUnreachable', cause: error });
  }
}
