/** Daemons without upstream processes, to measure what the control plane alone costs. */
import { SystemClock } from '@cleatquay/clock';
import { ConfigurationStore } from '@cleatquay/configuration';
import { HttpStore } from '@cleatquay/store';
import { request } from 'undici';
import { ManagedProcess } from './managedProcess.js';
import { deployments, operatorFileOf, repositoryPath } from './deployments.js';
import { type DaemonAddresses } from './fleet.js';

const DAEMON = repositoryPath('packages/daemon/bin/cleatquayd.js');
const PLATFORM = repositoryPath('packages/standins/dist/platformMain.js');
const MAX_CONCURRENT_STARTS = 8;
const MAX_SEEDS = 3;

/** Resources that a daemon has used since its start. */
export interface ResourceUsage {
  readonly cpuSeconds: number;
  /** Gossip sent and received, plus configuration received. */
  readonly bytes: number;
  readonly residentMb: number;
}

/** Starts and owns the daemons and the stand-in of the platform; disposing kills them. */
export class DaemonGroup implements AsyncDisposable {
  private readonly daemons: ManagedProcess[] = [];

  private constructor(private readonly platform: ManagedProcess) {}

  /** Starts `count` daemons in three failure domains, with the configuration of the deployment frostline. */
  static async start(count: number): Promise<DaemonGroup> {
    const group = new DaemonGroup(await ManagedProcess.start(PLATFORM, [], 'url'));
    const deployment = deployments.frostline;
    if (!deployment) throw new Error('The deployment frostline is missing.');
    await using platform = new HttpStore(group.platformUrl);
    await new ConfigurationStore(platform, new SystemClock()).apply(operatorFileOf(deployment));
    await group.startDaemon(deployment.failureDomains, 0);
    for (let i = 1; i < count; i += MAX_CONCURRENT_STARTS) {
      const indexes = Array.from({ length: Math.min(MAX_CONCURRENT_STARTS, count - i) }, (_, k) => i + k);
      await Promise.all(indexes.map(index => group.startDaemon(deployment.failureDomains, index)));
    }
    return group;
  }

  get platformUrl(): string {
    return String(this.platform.ready.url);
  }

  /** Address of the caller API, as `ip:port`. */
  callerAddress(index: number): string {
    return this.addresses(index).caller;
  }

  /** Announces an upstream of `alarms` at every daemon. */
  async announceAll(address: string): Promise<void> {
    await Promise.all(
      this.daemons.map((_, index) => this.announceOne(index, address).catch(() => undefined)),
    );
  }

  /** Announces an upstream of `alarms` at one daemon. */
  async announceOne(index: number, address: string): Promise<void> {
    const body = JSON.stringify({ service: 'alarms', address, slots: 20, connections: 220 });
    const headers = { 'content-type': 'application/json' };
    const response = await request(`http://${this.addresses(index).operator}/upstreams`, {
      method: 'POST',
      headers,
      body,
    });
    await response.body.dump();
  }

  /** Resource usage of every daemon, from its metrics. */
  async resourceUsage(): Promise<ResourceUsage[]> {
    return Promise.all(this.daemons.map((_, index) => this.resourceUsageOf(index)));
  }

  /**
   * When each daemon adopted its active configuration, ms since 1970; undefined if that is older than the given generation.
   */
  async adoptionTimes(generation: number): Promise<(number | undefined)[]> {
    return Promise.all(
      this.daemons.map(async (_, index) => {
        const response = await request(`http://${this.addresses(index).operator}/status`);
        const status = (await response.body.json()) as { generation: number; adoptedAt?: string };
        return status.generation >= generation ? Date.parse(status.adoptedAt ?? '') : undefined;
      }),
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all([...this.daemons, this.platform].map(process => process[Symbol.asyncDispose]()));
  }

  private addresses(index: number): DaemonAddresses {
    return this.daemons[index]?.ready.addresses as DaemonAddresses;
  }

  private async startDaemon(failureDomains: readonly string[], index: number): Promise<void> {
    const seeds = this.daemons.slice(0, MAX_SEEDS).flatMap((_, i) => ['--seeds', this.addresses(i).gossip]);
    const domain = failureDomains[index % failureDomains.length] ?? '';
    const flags = ['--ip=127.0.0.1', `--failureDomain=${domain}`, `--platform=${this.platformUrl}`, ...seeds];
    this.daemons.push(await ManagedProcess.start(DAEMON, flags, 'addresses'));
  }

  private async resourceUsageOf(index: number): Promise<ResourceUsage> {
    const response = await request(`http://${this.addresses(index).operator}/metrics`);
    const text = await response.body.text();
    const value = (name: string) => Number(new RegExp(`^${name} (.+)$`, 'm').exec(text)?.[1] ?? Number.NaN);
    const gossip = value('cleatquay_gossip_sent_bytes') + value('cleatquay_gossip_received_bytes');
    return {
      cpuSeconds: value('process_cpu_seconds_total'),
      bytes: gossip + value('cleatquay_configuration_received_bytes'),
      residentMb: value('process_resident_memory_bytes') / 1_048_576,
    };
  }
}
