/** The interface of the local upstream, on the same VM as the daemon, that calls use. */
import { type Admission, type RouteCosts } from '@cleatquay/admission';
import { type UpstreamNotice } from '@cleatquay/protocol';
import { type LatestUpstreamLoad } from './latestUpstreamLoad.js';
import { type RequestProgress } from './requestProgress.js';
import { type ResponseNotice } from './responseNotice.js';
import { type UpstreamConnections } from './upstreamConnections.js';

/** An upstream that has announced itself to this daemon. */
export interface LocalUpstream {
  readonly admission: Admission;
  readonly costs: RouteCosts;
  readonly connections: UpstreamConnections;
  /** What it reports of its load. */
  readonly load: LatestUpstreamLoad;
  /** Follows the requests that are sent to it. */
  readonly loadMonitor: { track(route: string): RequestProgress | undefined };
  readonly isDraining: boolean;
  /** Identifies the upstream instance; empty if it does not report an id. */
  readonly instanceId: string;
  /** Identifies this process start of the instance, uniquely in the fleet. */
  readonly start: string;
  /** ip:port */
  readonly address: string;
  /** It refused a connection: it gets no requests until it announces itself again. */
  readonly onConnectionRefused: () => void;
  /** Another instance responds at its address, so that this one no longer exists. */
  readonly onReplaced: () => void;
  /** Its latest notice for other daemons; usually undefined. */
  readonly notice: UpstreamNotice | undefined;
  /** Applies the notice in one of its responses. `sentAt` is when the request was sent to it, by the clock's `awake`, ms. */
  readonly onNotice: (notice: ResponseNotice, sentAt: number) => void;
}
