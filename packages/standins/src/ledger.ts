/** What an upstream really did, kept to be compared with what callers were told. */

/** One run of a request, with what came of it. */
export interface Effect {
  /** The caller's own name for the request, from the `x-token` header. */
  readonly token: string;
  readonly route: string;
  readonly requestId: string;
  /** True when the run got as far as its effect. */
  done: boolean;
}
