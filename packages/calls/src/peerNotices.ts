/**
 * Notices of the upstreams on other VMs, as received from their daemons. A daemon applies the notices of its local
 * upstream; after a restart it has none, so senders include the last known notice in the requests that they send to it,
 * until it reports a notice itself or responds without one.
 */
import { type AnswerPart, type UpstreamNotice } from '@cleatquay/protocol';

interface ReceivedNotice {
  readonly notice: UpstreamNotice;
  /** Whether the daemon has reported it on the present link, which leads to one process only. */
  isFromPresentLink: boolean;
}

/** The latest notice of each service's upstream, by the address of its daemon. */
export class PeerNotices {
  private readonly byAddress = new Map<string, Map<string, ReceivedNotice>>();

  /**
   * Records what the first part of a response reports. A refusal without a notice does not show that the upstream has none:
   * the daemon itself may have sent it.
   */
  record(service: string, address: string, { head, notice }: AnswerPart): void {
    if (notice) this.store(address, service, { notice, isFromPresentLink: true });
    else if (head && this.byAddress.size > 0) this.byAddress.get(address)?.delete(service);
  }

  /** The notice to send to a daemon; undefined if there is none or the same process has reported it. */
  noticeFor(service: string, address: string): UpstreamNotice | undefined {
    if (this.byAddress.size === 0) return undefined;
    const received = this.byAddress.get(address)?.get(service);
    return received?.isFromPresentLink === false ? received.notice : undefined;
  }

  /** The link to a daemon has ended: the next one may lead to another process. */
  linkEnded(address: string): void {
    for (const received of this.byAddress.get(address)?.values() ?? []) received.isFromPresentLink = false;
  }

  /** Discards the notices of a daemon that was removed permanently. */
  forget(address: string): void {
    this.byAddress.delete(address);
  }

  private store(address: string, service: string, received: ReceivedNotice): void {
    const byService = this.byAddress.get(address);
    if (byService) byService.set(service, received);
    else this.byAddress.set(address, new Map([[service, received]]));
  }
}
