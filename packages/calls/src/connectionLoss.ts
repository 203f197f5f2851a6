import { UNKNOWN_PROCESS } from './processIdentity.js';

/** The connection to a peer could not be made, or failed before the response was complete. */
export class ConnectionLoss extends Error {
  constructor(
    message: string,
    /** True when the peer certainly received nothing of the request. */
    readonly neverSent: boolean,
    /** The process that the connection led to, which may have received the request; see `ProcessIdentity`. */
    readonly process = UNKNOWN_PROCESS,
  ) {
    super(message);
  }
}
