/** Hooks by which tests cut a daemon off; only with the `faultHooks` setting. */

/** Addresses, of any kind, that this daemon neither sends to nor hears. */
export class Faults {
  private cut = new Set<string>();

  /** Replaces the list of addresses that are cut off. */
  setCut(addresses: readonly string[]): void {
    this.cut = new Set(addresses);
  }

  /** Whether the address is cut off. */
  isCut(address: string): boolean {
    return this.cut.has(address);
  }
}
