/** Fault injection for tests; available only with the `faultHooks` setting. */

/** Simulates network partitions: addresses, of any protocol, with which this daemon exchanges nothing. */
export class FaultHooks {
  private partitioned = new Set<string>();

  /** Replaces the list of partitioned addresses. */
  setPartition(addresses: readonly string[]): void {
    this.partitioned = new Set(addresses);
  }

  /** Whether the address is partitioned from this daemon. */
  isPartitioned(address: string): boolean {
    return this.partitioned.has(address);
  }
}
