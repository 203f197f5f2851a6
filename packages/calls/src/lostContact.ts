/** The error of a contact with a peer that failed. */

/** Contact with a peer failed. */
export class LostContact extends Error {
  constructor(
    message: string,
    /** True when it is certain that the peer got nothing. */
    readonly neverSent: boolean,
  ) {
    super(message);
  }
}
