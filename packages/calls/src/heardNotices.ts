/**
 * What this daemon has heard of the upstreams beside others. The daemon beside an upstream keeps to what that says; one
 * that was started again hasn't heard it, and is told with the requests that it is sent, until it says more itself.
 */
import { type AnswerPart, type UpstreamNotice } from '@cleatquay/protocol';
import { type Candidate } from '@cleatquay/routing';

interface ReceivedNotice {
  /** The process from which it was heard. */
  readonly epoch: number;
  readonly notice: UpstreamNotice;
}

/** The latest notice of each service beside each daemon. */
export class HeardNotices {
  private readonly byAddress = new Map<string, Map<string, ReceivedNotice>>();

  /** Takes the first part of an answer or a refusal. */
  heard(service: string, { address, epoch }: Candidate, { head, notice }: AnswerPart): void {
    if (notice) this.store(address, service, { epoch, notice });
    else if (head && this.byAddress.size > 0) this.byAddress.get(address)?.delete(service);
  }

  /** What the daemon has to be told; undefined if it knows, or there is nothing to know. */
  toTell(service: string, { address, epoch }: Candidate): UpstreamNotice | undefined {
    if (this.byAddress.size === 0) return undefined;
    const heard = this.byAddress.get(address)?.get(service);
    return heard?.epoch === epoch ? undefined : heard?.notice;
  }

  /** Drops what was heard from a daemon that is gone for good. */
  forget(address: string): void {
    this.byAddress.delete(address);
  }

  private store(address: string, service: string, heard: ReceivedNotice): void {
    const known = this.byAddress.get(address);
    if (known) known.set(service, heard);
    else this.byAddress.set(address, new Map([[service, heard]]));
  }
}
