/** Parses the HTTP requests of callers, and writes HTTP responses from the parts of a call response. */
import {
  type CallResponse,
  type CallerRequest,
  MIN_SERVER_ERROR_STATUS,
  headerNames,
  parseHeaderBlock,
  AUTHORIZATION_HEADER,
  STRIPPED_HEADERS,
  STRIPPED_HEADERS_WITH_AUTHORIZATION,
  forwardedRawHeaders,
  isBodyless,
  isFinalPart,
} from '@cleatquay/calls';
import { parseCredentials } from '@cleatquay/organisations';
import { Failure, resultByCode, resultCodes } from '@cleatquay/errors';
import { type AnswerHead, type AnswerPart, type Refusal, createRefusal } from '@cleatquay/protocol';
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Duplex } from 'node:stream';
import { type ResponseCollector } from './responseCollector.js';
import { deliveryOf, isDeliveryWhole, startDelivery } from './responseDelivery.js';

/**
 * Bodies of complete responses up to this size are written as latin1 strings: node concatenates a string with the
 * response head into a single write, whereas a buffer takes a gathered write of two.
 */
const SINGLE_WRITE_MAX_BYTES = 8192;
const MAX_TIMEOUT_MS = 600_000;

/** Result under which a request is counted whose caller disconnected before the response was complete. */
export const DISCONNECT_REFUSAL = createRefusal('contactLost', 'The caller disconnected.');

/** Parses service, path and cleatquay headers of an HTTP request. */
export function parseCallerRequest(request: IncomingMessage, needsKeys: boolean): CallerRequest {
  const url = request.url ?? '/';
  const [, service = '', rest = ''] = /^\/([^/?]+)(.*)$/.exec(url) ?? [];
  return {
    service,
    method: request.method ?? 'GET',
    path: rest.startsWith('/') ? rest : `/${rest}`,
    headers: forwardedRawHeaders(
      request.rawHeaders,
      needsKeys ? STRIPPED_HEADERS_WITH_AUTHORIZATION : STRIPPED_HEADERS,
    ),
    credentials: needsKeys ? parseCredentials(request.rawHeaders, AUTHORIZATION_HEADER) : 'none',
    requestId: headerValue(request, headerNames.requestId),
    idempotencyKey: headerValue(request, headerNames.idempotencyKey),
    parent: headerValue(request, headerNames.parent),
    callKey: headerValue(request, headerNames.callKey),
    timeoutMs: parseTimeout(request),
  };
}

function headerValue(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
}

function parseTimeout(request: IncomingMessage): number | undefined {
  const text = headerValue(request, headerNames.timeoutMs);
  if (text === undefined) return undefined;
  const ms = Number(text);
  if (Number.isInteger(ms) && ms > 0 && ms <= MAX_TIMEOUT_MS) return ms;
  throw new Failure(
    `Expected an integer from 1 to ${String(MAX_TIMEOUT_MS)} (milliseconds), found "${text}".`,
    {
      result: 'headerInvalid',
      field: headerNames.timeoutMs,
    },
  );
}

/** Writes what a daemon adds to an upstream's response, and refusals, which are sent in place of one. */
export interface ResponseWriter {
  /** Headers in addition to those of the upstream: alternating names and values. */
  readonly addedHeaders: (status: number, request: IncomingMessage) => string[];
  readonly refusal: (response: ServerResponse, refusal: Refusal) => void;
  /** Ends a response that can't be completed. */
  readonly cut: (response: ServerResponse) => void;
  readonly collector: ResponseCollector;
}

/** How an interface writes responses. */
export type ResponseFormat = Omit<ResponseWriter, 'cut' | 'collector'>;

/** Writes responses of the native interface. */
export const nativeResponseFormat: ResponseFormat = {
  addedHeaders: status => [headerNames.outcome, status >= MIN_SERVER_ERROR_STATUS ? 'failed' : 'answered'],
  refusal: writeRefusal,
};

/**
 * Writes a response; most have a single part. Its length or chunks mark its end for the caller, whoever ends the connection before that. If
 * its parts end early after the response head, `writer` cuts it.
 */
export async function writeResponse(
  response: ServerResponse,
  callResponse: CallResponse,
  writer: ResponseWriter,
): Promise<Refusal | undefined> {
  const { first, rest } = callResponse;
  if (!rest || !first.head || mayDelimit(response, first.head)) {
    const isComplete = writeResponsePart(response, first, writer);
    return isComplete || !rest ? first.refusal : writeRest(response, rest, writer);
  }
  const collected = await writer.collector.collect(callResponse, response);
  if (!response.destroyed) writeResponsePart(response, collected, writer);
  return collected.refusal;
}

/** Writes the parts of a response. */
export async function writeResponseParts(
  response: ServerResponse,
  parts: AsyncIterable<AnswerPart>,
  writer: ResponseWriter,
): Promise<Refusal | undefined> {
  const iterator = parts[Symbol.asyncIterator]();
  const first = await iterator.next();
  if (first.done === true) {
    writer.cut(response);
    return undefined;
  }
  const rest = isFinalPart(first.value) ? undefined : { [Symbol.asyncIterator]: () => iterator };
  return writeResponse(response, { first: first.value, rest }, writer);
}

async function writeRest(
  response: ServerResponse,
  parts: AsyncIterable<AnswerPart>,
  writer: ResponseWriter,
): Promise<Refusal | undefined> {
  for await (const part of parts) {
    if (writeResponsePart(response, part, writer)) return part.refusal;
    if (response.writableNeedDrain) await drained(response);
    if (response.destroyed) return undefined;
  }
  writer.cut(response);
  return undefined;
}

/** Whether a length or chunks can mark the end of a response in parts; callers that speak HTTP/1.0 take no chunks. */
function mayDelimit(response: ServerResponse, { length }: AnswerHead): boolean {
  return length !== undefined || response.useChunkedEncodingByDefault;
}

/** Resolves once the response takes more, or is closed. */
function drained(response: ServerResponse): Promise<void> {
  return new Promise(resolve => {
    const settle = () => {
      response.off('drain', settle);
      response.off('close', settle);
      resolve();
    };
    response.on('drain', settle);
    response.on('close', settle);
  });
}

/** Writes a part; returns whether it was the last one. */
function writeResponsePart(response: ServerResponse, part: AnswerPart, writer: ResponseWriter): boolean {
  if (part.refusal) {
    if (response.headersSent) writer.cut(response);
    else writer.refusal(response, part.refusal);
    return true;
  }
  const isComplete = part.head !== undefined && part.end !== undefined;
  if (part.head) writeHead(response, part.head, part.end?.length ?? part.head.length, writer);
  if (!recordBody(response, part)) writer.cut(response);
  else if (isComplete && part.body.length <= SINGLE_WRITE_MAX_BYTES)
    response.end(part.body.toString('latin1'), 'latin1');
  else if (part.end) response.end(part.body);
  else response.write(part.body);
  return part.end !== undefined;
}

/** Returns whether the body may be sent: the last part must not end a body of another length than was stated. */
function recordBody(response: ServerResponse, { body, end }: AnswerPart): boolean {
  const delivery = deliveryOf(response);
  if (!delivery) return true;
  delivery.bodyBytes += body.length;
  delivery.isStreamed ||= !end;
  return !end || isDeliveryWhole(delivery, end);
}

function writeHead(
  response: ServerResponse,
  { status, headers }: AnswerHead,
  length: number | undefined,
  writer: ResponseWriter,
): void {
  const list = [...parseHeaderBlock(headers), ...writer.addedHeaders(status, response.req)];
  const bodyless = isBodyless(response.req.method ?? '', status);
  if (length !== undefined && !bodyless) list.push('content-length', String(length));
  startDelivery(response, bodyless ? 'no-body' : length === undefined ? 'chunks' : 'length', length);
  response.writeHead(status, list);
}

/** Writes a refusal: outcome and retry delay as headers, and all fields as a JSON body. */
export function writeRefusal(response: ServerResponse, refusal: Refusal): void {
  const name = resultByCode(refusal.code);
  const { status, advice } = resultCodes[name];
  const { code, message, outcome, retryAfterMs } = refusal;
  const retryAfterHeader = retryAfterMs > 0 ? { 'retry-after': String(Math.ceil(retryAfterMs / 1000)) } : {};
  const exactRetryAfterHeader = retryAfterMs > 0 ? { [headerNames.retryAfterMs]: String(retryAfterMs) } : {};
  const text = JSON.stringify({ code, result: name, outcome, message, advice, retryAfterMs });
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(text)),
    [headerNames.outcome]: outcome,
    ...retryAfterHeader,
    ...exactRetryAfterHeader,
  });
  response.end(text);
}

const STATUS_BY_PARSER_ERROR: Record<string, string> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
};

/** What a caller is told of input that can't be served as a request. */
const INPUT_REFUSALS = {
  headerInvalid: { status: '400 Bad Request', message: 'The request is not valid HTTP.' },
  bodyIncomplete: { status: '400 Bad Request', message: 'The body broke off.' },
  overloaded: {
    status: '503 Service Unavailable',
    message: 'Too many requests are pipelined on this connection: this one and those behind it have not run.',
  },
};
/** For callers that pipeline too much, s. */
const RETRY_AFTER = 1;

/** Responds to input that is not valid HTTP, or beyond what is accepted, and closes the connection. */
export function writeHttpParserError(
  error: Error & { code?: string },
  socket: Duplex,
  result: keyof typeof INPUT_REFUSALS = 'headerInvalid',
): void {
  if (error.code === 'ECONNRESET' || !socket.writable) return void socket.destroy();
  const { code, outcome, advice } = resultCodes[result];
  const { message, status: usualStatus } = INPUT_REFUSALS[result];
  const text = JSON.stringify({ code, result, outcome, message, advice });
  const status = STATUS_BY_PARSER_ERROR[error.code ?? ''] ?? usualStatus;
  const head = [
    `HTTP/1.1 ${status}`,
    'content-type: application/json',
    `content-length: ${String(text.length)}`,
    ...(result === 'overloaded' ? [`retry-after: ${String(RETRY_AFTER)}`] : []),
  ];
  socket.end([...head, 'connection: close', `${headerNames.outcome}: ${outcome}`, '', text].join('\r\n'));
}
