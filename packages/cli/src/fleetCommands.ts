/** status, members, routes, dump, drain, undrain, explain, and waiting for a generation to be in force. */
import { type Clock } from '@cleatquay/clock';
import { Failure, type ResultName } from '@cleatquay/errors';
import { type EndCounts, type RequestEnd } from '@cleatquay/organisations';
import { request } from 'undici';
import { table } from './output.js';

const TIMEOUT_MS = 2000;
const POLL_MS = 250;
/** Digits of a digest that tell the contents of a fleet apart. */
const SHOWN_DIGITS = 8;

interface MemberStatus {
  readonly address: string;
  readonly operatorAddress: string;
  readonly failureDomain: string;
  readonly state: string;
  readonly upstreams: { service: string; address: string; slots: number; draining: boolean }[];
}

/** What a daemon says of itself at /status. */
export interface DaemonStatus {
  readonly caller: string;
  readonly inner: string;
  readonly operator: string;
  readonly failureDomain: string;
  readonly generation: number;
  /** Names the content of the generation. */
  readonly digest: string;
  readonly upstreams: {
    service: string;
    draining: boolean;
    /** Requests a second that it names; left out while it names none. */
    rateLimit?: number;
    load: { inFlight: number; queued: number; limit: number; admissionLevel: number };
  }[];
  readonly members: MemberStatus[];
  readonly quarantine: HeldRequest[];
}

/** A request under which upstreams ended. */
interface HeldRequest {
  readonly fingerprint: string;
  readonly isHeld: boolean;
  /** Unix ms. */
  readonly since: number;
  readonly starts: readonly string[];
  /** Method and path; empty if they aren't known. */
  readonly asks: string;
}

/** Commands on running daemons, by one daemon's operator address. */
export class FleetCommands {
  constructor(
    private readonly daemon: string,
    private readonly clock: Clock,
  ) {}

  /** One line for each daemon. */
  async status(): Promise<string> {
    const { members } = await ask<DaemonStatus>(this.daemon, 'GET', '/status');
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
    ];
    return table(
      head,
      rows.sort((a, b) => String(a[0]).localeCompare(String(b[0]))),
    );
  }

  /** The members as the daemon sees them. */
  async members(): Promise<string> {
    const { members } = await ask<DaemonStatus>(this.daemon, 'GET', '/status');
    const rows = members.map(m => [m.address, m.operatorAddress, m.failureDomain, m.state.toLowerCase()]);
    return table(['daemon', 'operators', 'failure domain', 'state'], rows);
  }

  /** The upstreams of each service as the daemon sees them. */
  async routes(): Promise<string> {
    const { members } = await ask<DaemonStatus>(this.daemon, 'GET', '/status');
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

  /** What each organisation sent to the daemons that answer, and how that ended. */
  async organisations(): Promise<string> {
    const { members } = await ask<DaemonStatus>(this.daemon, 'GET', '/status');
    const up = members.filter(({ state }) => state === 'ALIVE');
    const counts = await Promise.all(
      up.map(({ operatorAddress }) =>
        ask<Record<string, EndCounts>>(operatorAddress, 'GET', '/organisations').catch(() => undefined),
      ),
    );
    const answered = counts.filter(count => count !== undefined);
    const rows = organisationRows(answered);
    if (rows.length === 0) return 'No organisation has sent a request.';
    const head = ['organisation', 'sent', 'answered', 'over quota', 'refused', 'failed'];
    return `${table(head, rows)}\n${String(answered.length)} of ${String(up.length)} daemons answered.`;
  }

  /** The whole state of the daemon's process. */
  async dump(): Promise<string> {
    return JSON.stringify(await ask(this.daemon, 'GET', '/dump'), undefined, 2);
  }

  /** Takes the daemon's upstreams out of the choice, or back into it. */
  async drain(draining: boolean): Promise<string> {
    await ask(this.daemon, 'POST', draining ? '/drain' : '/undrain');
    return draining ? 'Draining: no new work goes to its upstreams.' : 'Back: its upstreams take new work.';
  }

  /** The requests that are held back or were released, as the daemon knows them. */
  async quarantine(): Promise<string> {
    const { quarantine } = await ask<DaemonStatus>(this.daemon, 'GET', '/status');
    if (quarantine.length === 0) return 'No request is held back.';
    const rows = quarantine.map(({ fingerprint, isHeld, since, starts, asks }) => [
      fingerprint,
      isHeld ? 'held' : 'released',
      new Date(since).toISOString(),
      starts.length,
      asks === '' ? '?' : asks,
    ]);
    return table(['fingerprint', 'state', 'since', 'ends', 'asks'], rows);
  }

  /** Lets a request run again that is held back. */
  async release(fingerprint: string): Promise<string> {
    await ask(this.daemon, 'POST', `/release/${encodeURIComponent(fingerprint)}`);
    return `Released: ${fingerprint} may run again, on all daemons.`;
  }

  /** What every daemon that took part decided about a request. */
  async explain(requestId: string): Promise<string> {
    const { members } = await ask<DaemonStatus>(this.daemon, 'GET', '/status');
    const rows = await Promise.all(members.map(member => explanations(member, requestId)));
    const sorted = rows.flat().sort((a, b) => (a[0] ?? '').localeCompare(b[0] ?? ''));
    return sorted.length > 0
      ? table(['at', 'daemon', 'request', 'decision', 'what decided it'], sorted)
      : 'No daemon remembers that request.';
  }

  /** Waits until every member that is up has the generation with this content, or a later one; fails naming those that could not be seen to. */
  async waitFor(generation: number, digest: string, timeoutMs: number): Promise<string> {
    const end = this.clock.now() + timeoutMs;
    for (;;) {
      const missing = await this.without(generation, digest);
      if (missing.length === 0) return `Generation ${String(generation)} is in force everywhere.`;
      if (this.clock.now() >= end) {
        throw new Failure(`Not seen at ${missing.join(', ')}.`, { result: 'notInForce' });
      }
      await this.clock.sleep(POLL_MS);
    }
  }

  private async without(generation: number, digest: string): Promise<string[]> {
    const { members } = await ask<DaemonStatus>(this.daemon, 'GET', '/status');
    const up = members.filter(member => member.state === 'ALIVE' || member.state === 'SUSPECT');
    const seen = await Promise.all(up.map(member => statusOf(member)));
    const hasIt = (status: DaemonStatus | undefined) =>
      status !== undefined &&
      (status.generation > generation || (status.generation === generation && status.digest === digest));
    return up.filter((_, i) => !hasIt(seen[i])).map(member => member.address);
  }
}

/** Sums over daemons, those that sent most first. */
function organisationRows(counts: readonly Record<string, EndCounts>[]): (string | number)[][] {
  const names = [...new Set(counts.flatMap(count => Object.keys(count)))];
  const sum = (name: string, end: RequestEnd) =>
    counts.reduce((total, count) => total + (count[name]?.[end] ?? 0), 0);
  const rows = names.map(name => {
    const ends = (['answered', 'over-quota', 'refused', 'failed'] as const).map(end => sum(name, end));
    return [name, ends.reduce((total, end) => total + end, 0), ...ends];
  });
  return rows.sort((a, b) => Number(b[1]) - Number(a[1]));
}

async function statusOf({ operatorAddress }: MemberStatus): Promise<DaemonStatus | undefined> {
  return ask<DaemonStatus>(operatorAddress, 'GET', '/status').catch(() => undefined);
}

async function statusRow(member: MemberStatus): Promise<(string | number)[]> {
  const isGone = member.state === 'DEAD' || member.state === 'LEFT';
  const status = isGone ? undefined : await statusOf(member);
  const upstream = status?.upstreams[0];
  const state = upstream?.draining ? 'draining' : member.state.toLowerCase();
  const load = upstream?.load;
  const numbers = load
    ? [load.inFlight, load.queued, load.limit, load.admissionLevel.toFixed(2), upstream.rateLimit ?? 'none']
    : ['', '', '', '', ''];
  return [
    member.address,
    member.failureDomain,
    state,
    status?.generation ?? '?',
    status?.digest.slice(0, SHOWN_DIGITS) ?? '?',
    upstream?.service ?? '',
    ...numbers,
  ];
}

async function explanations(member: MemberStatus, requestId: string): Promise<string[][]> {
  const path = `/explain/${encodeURIComponent(requestId)}`;
  const found = await ask<Record<string, { at: string; what: string; facts: object }[]>>(
    member.operatorAddress,
    'GET',
    path,
  ).catch(() => ({}));
  return Object.entries(found).flatMap(([id, decisions]) =>
    decisions.map(d => [d.at, member.address, id, d.what, readable(d.facts)]),
  );
}

function readable(facts: object): string {
  return Object.entries(facts)
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(' ');
}

async function ask<T>(operatorAddress: string, method: 'GET' | 'POST', path: string): Promise<T> {
  const { status, text } = await answerOf(operatorAddress, method, path);
  if (status === 200) return JSON.parse(text) as T;
  const { result, message, field } = JSON.parse(text) as RefusedCommand;
  throw new Failure(message, { result, field });
}

/** What a daemon says of a command that it doesn't carry out. */
interface RefusedCommand {
  readonly result: ResultName;
  readonly message: string;
  readonly field?: string;
}

async function answerOf(
  operatorAddress: string,
  method: 'GET' | 'POST',
  path: string,
): Promise<{ status: number; text: string }> {
  try {
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const answer = await request(`http://${operatorAddress}${path}`, { method, signal });
    return { status: answer.statusCode, text: await answer.body.text() };
  } catch (error) {
    throw new Failure(`No answer from ${operatorAddress}.`, { result: 'daemonUnreachable', cause: error });
  }
}
