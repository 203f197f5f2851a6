/** What has been sent of a response to its caller, and what marks its end for the caller. */
import { type ResponseDelimiter } from '@cleatquay/calls';
import { type ServerResponse } from 'node:http';

/** The state of a response whose head has been written. */
export interface ResponseDelivery {
  readonly delimiter: ResponseDelimiter;
  /** Length of the body as its head states it; undefined if it states none. */
  readonly length: number | undefined;
  /** Bytes of the body that were handed to the connection so far. */
  bodyBytes: number;
  /** Whether the body is sent in several parts. */
  isStreamed: boolean;
}

const deliveries = new WeakMap<ServerResponse, ResponseDelivery>();

/** Records that the head of a response is being written. */
export function startDelivery(
  response: ServerResponse,
  delimiter: ResponseDelimiter,
  length: number | undefined,
): void {
  deliveries.set(response, { delimiter, length, bodyBytes: 0, isStreamed: false });
}

/** Whether the body that was sent is as long as its head and its last part state. */
export function isDeliveryWhole({ length, bodyBytes }: ResponseDelivery, end: { length: number }): boolean {
  return bodyBytes === end.length && (length === undefined || bodyBytes === length);
}

/** Of a response of an upstream whose head has been written; undefined before that, and of the daemon's own responses. */
export function deliveryOf(response: ServerResponse): ResponseDelivery | undefined {
  return deliveries.get(response);
}
