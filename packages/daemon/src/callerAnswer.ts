/** Between HTTP and the parts of an answer. */
import {
  type CallAnswer,
  type CallerRequest,
  headerNames,
  headerList,
  CREDENTIALS,
  OWN_HEADERS,
  OWN_HEADERS_WITH_KEYS,
  passedRawHeaders,
} from '@cleatquay/calls';
import { credentialsIn } from '@cleatquay/organisations';
import { Failure, resultByCode, resultCodes } from '@cleatquay/errors';
import { type AnswerHead, type AnswerPart, type Refusal, refusalOf } from '@cleatquay/protocol';
import { once } from 'node:events';
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Duplex } from 'node:stream';

const FAILED_FROM = 500;
/**
 * Bodies of whole answers up to this size are written as text of one byte a character, bytes: node joins such text with
 * the head into one write, where a buffer takes two that are gathered.
 */
const COPIED_BYTES = 8192;
const LONGEST_TIMEOUT_MS = 600_000;

/** How a request is counted whose caller left before its answer. */
export const CALLER_GONE = refusalOf('contactLost', 'The caller left.');

/** Reads service, path and the system's headers off an HTTP request. */
export function callerRequest(request: IncomingMessage, needsKeys: boolean): CallerRequest {
  const url = request.url ?? '/';
  const [, service = '', rest = ''] = /^\/([^/?]+)(.*)$/.exec(url) ?? [];
  return {
    service,
    method: request.method ?? 'GET',
    path: rest.startsWith('/') ? rest : `/${rest}`,
    headers: passedRawHeaders(request.rawHeaders, needsKeys ? OWN_HEADERS_WITH_KEYS : OWN_HEADERS),
    credentials: needsKeys ? credentialsIn(request.rawHeaders, CREDENTIALS) : 'none',
    requestId: header(request, headerNames.requestId),
    idempotencyKey: header(request, headerNames.idempotencyKey),
    parent: header(request, headerNames.parent),
    callKey: header(request, headerNames.callKey),
    timeoutMs: timeoutOf(request),
  };
}

function header(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
}

function timeoutOf(request: IncomingMessage): number | undefined {
  const text = header(request, headerNames.timeoutMs);
  if (text === undefined) return undefined;
  const ms = Number(text);
  if (Number.isInteger(ms) && ms > 0 && ms <= LONGEST_TIMEOUT_MS) return ms;
  throw new Failure(`Expected whole milliseconds from 1 to ${String(LONGEST_TIMEOUT_MS)}, found "${text}".`, {
    result: 'headerInvalid',
    field: headerNames.timeoutMs,
  });
}

/** How callers are told what isn't in an upstream's answer. */
export interface AnswerWriter {
  /** Headers beside those of the upstream: names and values by turns. */
  readonly headers: (status: number, request: IncomingMessage) => string[];
  readonly refusal: (response: ServerResponse, refusal: Refusal) => void;
}

/** The words of our own interface. */
export const ownWriter: AnswerWriter = {
  headers: status => [headerNames.outcome, status >= FAILED_FROM ? 'failed' : 'answered'],
  refusal: writeRefusal,
};

/** Writes an answer; most have a single part. */
export async function writeAnswer(
  response: ServerResponse,
  { first, rest }: CallAnswer,
  writer: AnswerWriter,
): Promise<Refusal | undefined> {
  const isWhole = writePart(response, first, writer);
  return isWhole || !rest ? first.refusal : writeParts(response, rest, writer);
}

/** Writes an answer as its parts come. One that breaks off after its beginning breaks the connection off. */
export async function writeParts(
  response: ServerResponse,
  parts: AsyncIterable<AnswerPart>,
  writer: AnswerWriter,
): Promise<Refusal | undefined> {
  for await (const part of parts) {
    if (writePart(response, part, writer)) return part.refusal;
    if (response.writableNeedDrain) await Promise.race([once(response, 'drain'), once(response, 'close')]);
    if (response.destroyed) return undefined;
  }
  response.destroy();
  return undefined;
}

/** Writes a part; says whether it was the last. */
function writePart(response: ServerResponse, part: AnswerPart, writer: AnswerWriter): boolean {
  if (part.refusal) {
    if (response.headersSent) response.destroy();
    else writer.refusal(response, part.refusal);
    return true;
  }
  const isWhole = part.head !== undefined && part.end !== undefined;
  if (part.head) writeHead(response, part.head, part.end?.length, writer);
  if (isWhole && part.body.length <= COPIED_BYTES) response.end(part.body.toString('latin1'), 'latin1');
  else if (part.end) response.end(part.body);
  else response.write(part.body);
  return part.end !== undefined;
}

function writeHead(
  response: ServerResponse,
  { status, headers, unframed }: AnswerHead,
  length: number | undefined,
  writer: AnswerWriter,
): void {
  const list = [...headerList(headers), ...writer.headers(status, response.req)];
  if (unframed) endWithConnection(response);
  else if (length !== undefined) list.push('content-length', String(length));
  response.writeHead(status, list);
}

/** The answer goes as it came: nobody knows its length, and to tell one would vouch for it. */
function endWithConnection(response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
}

/** Writes a refusal: outcome and time to come back in headers, and all of it as JSON. */
export function writeRefusal(response: ServerResponse, refusal: Refusal): void {
  const name = resultByCode(refusal.code);
  const { status, advice } = resultCodes[name];
  const { code, message, outcome, retryAfterMs } = refusal;
  const comeBack = retryAfterMs > 0 ? { 'retry-after': String(Math.ceil(retryAfterMs / 1000)) } : {};
  const exact = retryAfterMs > 0 ? { [headerNames.retryAfterMs]: String(retryAfterMs) } : {};
  const text = JSON.stringify({ code, result: name, outcome, message, advice, retryAfterMs });
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(text)),
    [headerNames.outcome]: outcome,
    ...comeBack,
    ...exact,
  });
  response.end(text);
}

const PARSER_STATUS: Record<string, string> = { HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large' };

/** Answers bytes that are no usable HTTP, and closes the connection. */
export function writeHttpParserError(error: Error & { code?: string }, socket: Duplex): void {
  if (error.code === 'ECONNRESET' || !socket.writable) return void socket.destroy();
  const { code, outcome, advice } = resultCodes.headerInvalid;
  const text = JSON.stringify({
    code,
    result: 'headerInvalid',
    outcome,
    message: 'The request is not usable HTTP.',
    advice,
  });
  const status = PARSER_STATUS[error.code ?? ''] ?? '400 Bad Request';
  const head = [
    `HTTP/1.1 ${status}`,
    'content-type: application/json',
    `content-length: ${String(text.length)}`,
  ];
  socket.end([...head, 'connection: close', `${headerNames.outcome}: ${outcome}`, '', text].join('\r\n'));
}
