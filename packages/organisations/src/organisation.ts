/** What is declared of an organisation. */

/** How much of an organisation may run in the whole fleet. */
export interface Quota {
  /** Requests a second, for as long as it likes. */
  readonly perSecond: number;
  /** Requests beyond that, at once. */
  readonly burst: number;
}

/** One organisation that sends requests. */
export interface Organisation {
  readonly name: string;
  /** Digests of its keys, see `digestOfKey`. */
  readonly keyDigests: readonly string[];
  /** 0 is the most important; undefined where only its requests' routes tell. */
  readonly rank: number | undefined;
  /** Undefined for no limit. */
  readonly quota: Quota | undefined;
}
