/** Counts and traces how the delivery of responses to their callers ended. */
import { type DecisionTrace } from '@cleatquay/calls';
import { type Metrics } from './metrics.js';
import { type CutFacts, type DeliveryEnd } from './openResponses.js';

/** Dependencies of the log. */
export interface ResponseEndLogOptions {
  readonly metrics: Metrics;
  readonly decisionTrace: () => DecisionTrace;
}

/** The ends of responses at one daemon. */
export class ResponseEndLog {
  constructor(private readonly options: ResponseEndLogOptions) {}

  /** A response ended before its body was complete. */
  readonly recordCut = (requestId: string, { bytesWritten, delimiter = 'no-body' }: CutFacts): void => {
    const decisionTrace = this.options.decisionTrace();
    this.options.metrics.responseCut();
    decisionTrace.record(requestId, 'The response to the caller was cut off.', { bytesWritten, delimiter });
    decisionTrace.requestEnded(requestId, true);
  };

  /** The last byte of a response was sent, or its connection has ended. A response in one part needs no record: it was sent at once. */
  readonly recordDelivery = (requestId: string, end: DeliveryEnd): void => {
    const { delimiter, bodyBytes, isWhole, isStreamed } = end;
    this.options.metrics.deliveryEnded(end);
    if (!isStreamed) return;
    const decisionTrace = this.options.decisionTrace();
    const facts = { delimiter, bodyBytes, isWhole };
    decisionTrace.record(requestId, 'The response was delivered to the caller.', facts);
    decisionTrace.requestEnded(requestId, !isWhole);
  };
}
