/** Directory of the upstreams of each service, maintained from membership. */
import { type Member } from '@cleatquay/protocol';

/** A daemon whose local upstream serves the service. */
export interface Candidate {
  /** ip:port of the daemon's peer protocol. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
}

/** Maps services to candidates. */
export class UpstreamDirectory {
  private readonly byService = new Map<string, Map<string, Candidate>>();
  private readonly servicesOf = new Map<string, string[]>();
  private readonly versions = new Map<string, number>();

  /** Applies the newest record of a member; removes draining upstreams and members that are dead or have left. */
  update(member: Member): void {
    for (const service of this.servicesOf.get(member.address) ?? []) {
      this.byService.get(service)?.delete(member.address);
      this.incrementVersion(service);
    }
    const isUp = member.state === 'ALIVE' || member.state === 'SUSPECT';
    const ready = isUp ? member.upstreams.filter(upstream => !upstream.draining) : [];
    for (const { service, slots } of ready) {
      const { address, failureDomain } = member;
      const candidates = this.byService.get(service) ?? new Map<string, Candidate>();
      candidates.set(address, { address, failureDomain, slots });
      this.byService.set(service, candidates);
      this.incrementVersion(service);
    }
    const services = ready.map(upstream => upstream.service);
    if (services.length > 0) this.servicesOf.set(member.address, services);
    else this.servicesOf.delete(member.address);
  }

  /** All candidates of a service. */
  of(service: string): Candidate[] {
    return [...(this.byService.get(service)?.values() ?? [])];
  }

  /** Services that have at least one candidate. */
  services(): string[] {
    return [...this.byService].filter(([, candidates]) => candidates.size > 0).map(([service]) => service);
  }

  /** Incremented whenever the candidates of a service change. */
  version(service: string): number {
    return this.versions.get(service) ?? 0;
  }

  private incrementVersion(service: string): void {
    this.versions.set(service, this.version(service) + 1);
  }
}
