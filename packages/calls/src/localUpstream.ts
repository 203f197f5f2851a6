/** The upstream beside a daemon, as calls see it. */
import { type Admission, type RouteCosts } from '@cleatquay/admission';
import { type UpstreamNotice } from '@cleatquay/protocol';
import { type AnswerNotice } from './answerNotice.js';
import { type UpstreamConnections } from './upstreamConnections.js';

/** An announced upstream as calls see it. */
export interface LocalUpstream {
  readonly admission: Admission;
  readonly costs: RouteCosts;
  readonly connections: UpstreamConnections;
  readonly isDraining: boolean;
  /** Names the upstream; empty if it doesn't tell. */
  readonly instanceId: string;
  /** Names this start of it, in the whole fleet. */
  readonly start: string;
  /** ip:port */
  readonly address: string;
  /** It takes no connections: it is out until it announces itself again. */
  readonly refusedConnection: () => void;
  /** Another instance answers at its address: it is gone. */
  readonly anotherAnswers: () => void;
  /** What it has said of itself that others should know; undefined as a rule. */
  readonly notice: UpstreamNotice | undefined;
  /** What an answer of it says of it, to a request that was given to it at a time by the clock's `awake`, ms. */
  readonly heard: (notice: AnswerNotice, askedAt: number) => void;
}
