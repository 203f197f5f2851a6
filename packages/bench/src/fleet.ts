/** A whole fleet as real processes on loopback: the stand-in of the platform, daemons, and an upstream for each daemon. */
import { SystemClock } from '@cleatquay/clock';
import { ConfigurationStore } from '@cleatquay/configuration';
import { HttpStore } from '@cleatquay/store';
import { type OperatorFile } from '@cleatquay/settings';
import { type Execution, type StoreFaults, type UpstreamBehaviour, readLedger } from '@cleatquay/standins';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import { ManagedProcess } from './managedProcess.js';
import { repositoryPath } from './deployments.js';

const DAEMON = repositoryPath('packages/daemon/bin/cleatquayd.js');
const UPSTREAM = repositoryPath('packages/standins/dist/upstreamMain.js');
const PLATFORM = repositoryPath('packages/standins/dist/platformMain.js');
const MAX_CONCURRENT_STARTS = 8;
const MAX_SEEDS = 3;
const CONVERGENCE_POLL_MS = 50;
const CONVERGENCE_TIMEOUT_MS = 30_000;

/** Addresses of a daemon, each as `ip:port`. */
export interface DaemonAddresses {
  readonly caller: string;
  readonly inner: string;
  readonly gossip: string;
  readonly operator: string;
}

/** One VM: a daemon and its local upstream. */
export interface FleetNode {
  readonly service: string;
  readonly failureDomain: string;
  readonly daemon: ManagedProcess;
  readonly addresses: DaemonAddresses;
  readonly upstream: ManagedProcess;
  /** As `ip:port`. */
  readonly upstreamAddress: string;
  /** File in which the upstream records each execution. */
  readonly ledgerPath: string;
}

/** One VM to start. */
export interface VmSpecification {
  readonly service: string;
  readonly failureDomain: string;
  readonly behaviour: Partial<UpstreamBehaviour>;
}

export interface FleetOptions {
  /** Path of the operator file. */
  readonly path: string;
  readonly file: OperatorFile;
  /** One entry for each VM. */
  readonly nodes: readonly {
    service: string;
    failureDomain: string;
    behaviour: Partial<UpstreamBehaviour>;
  }[];
  /** Flags for every daemon. */
  readonly daemonFlags?: readonly string[];
  readonly seed: string;
}

/** Starts and owns all processes of a fleet; disposing kills them. */
export class Fleet implements AsyncDisposable {
  readonly nodes: FleetNode[] = [];
  private startedCount = 0;
  private readonly ledgerFolder = mkdtempSync(join(tmpdir(), 'cleatquay-ledger-'));

  private constructor(
    private readonly options: FleetOptions,
    private readonly platform: ManagedProcess,
  ) {}

  /** Starts all processes, applies the operator file, and waits until the fleet has converged. */
  static async start(options: FleetOptions): Promise<Fleet> {
    const fleet = new Fleet(options, await ManagedProcess.start(PLATFORM, [], 'url'));
    try {
      await using platform = new HttpStore(fleet.platformUrl);
      await new ConfigurationStore(platform, new SystemClock()).apply(options.file);
      const [first, ...others] = options.nodes;
      if (first) fleet.nodes.push(await fleet.startNode(first));
      for (let i = 0; i < others.length; i += MAX_CONCURRENT_STARTS) {
        fleet.nodes.push(
          ...(await Promise.all(
            others.slice(i, i + MAX_CONCURRENT_STARTS).map(node => fleet.startNode(node)),
          )),
        );
      }
      await fleet.waitUntilConverged();
      return fleet;
    } catch (error) {
      await fleet[Symbol.asyncDispose]();
      throw error;
    }
  }

  get platformUrl(): string {
    return String(this.platform.ready.url);
  }

  /** Starts the processes of one VM, without adding it to `nodes`. */
  async startNode(node: VmSpecification): Promise<FleetNode> {
    const { service, failureDomain, behaviour } = node;
    const name = `${this.options.seed}-${String(this.startedCount++)}`;
    const ledgerPath = join(this.ledgerFolder, name);
    const daemon = await this.startDaemon(failureDomain);
    const addresses = daemon.ready.addresses as DaemonAddresses;
    const flags = [
      `--service=${service}`,
      `--file=${this.options.path}`,
      `--callerUrl=http://${addresses.caller}`,
      `--operatorUrl=http://${addresses.operator}`,
      `--behaviour=${JSON.stringify(behaviour)}`,
      `--seed=${name}`,
      `--ledgerPath=${ledgerPath}`,
    ];
    const upstream = await ManagedProcess.start(UPSTREAM, flags, 'address');
    const upstreamAddress = String(upstream.ready.address);
    return { service, failureDomain, daemon, addresses, upstream, upstreamAddress, ledgerPath };
  }

  /** Starts a daemon that joins the fleet through a few running daemons. */
  private async startDaemon(failureDomain: string): Promise<ManagedProcess> {
    const seeds = this.nodes.slice(0, MAX_SEEDS).flatMap(({ addresses }) => ['--seeds', addresses.gossip]);
    const flags = [`--platform=${this.platformUrl}`, ...seeds, ...(this.options.daemonFlags ?? [])];
    return ManagedProcess.start(
      DAEMON,
      ['--ip=127.0.0.1', `--failureDomain=${failureDomain}`, ...flags],
      'addresses',
    );
  }

  /** Waits until every daemon has a configuration and sees every upstream. */
  async waitUntilConverged(): Promise<void> {
    const deadline = performance.now() + CONVERGENCE_TIMEOUT_MS;
    for (const node of this.nodes) {
      while (!(await this.hasConverged(node))) {
        if (performance.now() > deadline)
          throw new Error(`${node.addresses.operator} does not see all upstreams of the fleet.`);
        await new Promise(resolve => setTimeout(resolve, CONVERGENCE_POLL_MS));
      }
    }
  }

  /** URLs of the caller API of all daemons. */
  get callerUrls(): string[] {
    return this.nodes.map(node => `http://${node.addresses.caller}`);
  }

  /** Executions that an upstream recorded. */
  ledger({ ledgerPath }: FleetNode): Execution[] {
    return readLedger(ledgerPath);
  }

  /** Kills the processes of a VM and starts a replacement. The ledger of the old VM stays readable. */
  async replaceNode(node: FleetNode, behaviour: Partial<UpstreamBehaviour>): Promise<FleetNode> {
    await Promise.all([node.daemon[Symbol.asyncDispose](), node.upstream[Symbol.asyncDispose]()]);
    const { service, failureDomain } = node;
    const replacement = await this.startNode({ service, failureDomain, behaviour });
    this.nodes.splice(this.nodes.indexOf(node), 1, replacement);
    return replacement;
  }

  /** Useful and wasted work of an upstream since its last reset, ms. */
  async work(node: FleetNode): Promise<{ useful: number; wasted: number }> {
    return getJson(`http://${node.upstreamAddress}/_work`);
  }

  /** Total number of invariant violations that the running daemons have detected. */
  async invariantViolations(): Promise<number> {
    const counts = this.nodes.map(async ({ addresses }) => {
      const text = await getText(`http://${addresses.operator}/metrics`);
      return Number(/^cleatquay_invariant_violations (.+)$/m.exec(text)?.[1] ?? Number.NaN);
    });
    return (await Promise.all(counts)).reduce((sum, count) => sum + count, 0);
  }

  /** Changes the simulated behaviour of an upstream. */
  async setBehaviour(node: FleetNode, behaviour: Partial<UpstreamBehaviour>): Promise<void> {
    await post(`http://${node.upstreamAddress}/_behaviour`, behaviour);
  }

  /** Resets the work counters of all upstreams. */
  async resetWork(): Promise<void> {
    for (const node of this.nodes) await post(`http://${node.upstreamAddress}/_reset`, {});
  }

  /** Injects faults into the stand-in of the platform, or clears them. */
  async setPlatformFaults(faults: Partial<StoreFaults>): Promise<void> {
    await post(`${this.platformUrl}/_faults`, faults);
  }

  /**
   * Makes a daemon drop its gossip with the given daemons, in both directions, and its calls to them; calls from them still
   * arrive. Replaces an earlier list; an empty one ends the partition. Needs the flag `--faultHooks`.
   */
  async setPartition(node: FleetNode, from: readonly FleetNode[]): Promise<void> {
    const addresses = from.flatMap(({ addresses: { inner, gossip } }) => [inner, gossip]);
    await post(`http://${node.addresses.operator}/faults`, { cut: addresses });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const all = [...this.nodes.flatMap(node => [node.upstream, node.daemon]), this.platform];
    await Promise.all(all.map(process => process[Symbol.asyncDispose]()));
    rmSync(this.ledgerFolder, { recursive: true });
  }

  private async hasConverged({ addresses }: FleetNode): Promise<boolean> {
    const status = await getJson<{ generation: number; members: { state: string; upstreams: unknown[] }[] }>(
      `http://${addresses.operator}/status`,
    );
    const known = status.members.filter(member => member.state === 'ALIVE' && member.upstreams.length > 0);
    return status.generation > 0 && known.length >= this.nodes.length;
  }
}

async function getText(url: string): Promise<string> {
  const response = await request(url);
  return response.body.text();
}

async function getJson<T>(url: string): Promise<T> {
  return JSON.parse(await getText(url)) as T;
}

async function post(url: string, body: unknown): Promise<void> {
  const headers = { 'content-type': 'application/json' };
  const response = await request(url, { method: 'POST', headers, body: JSON.stringify(body) });
  await response.body.dump();
}
