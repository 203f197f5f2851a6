/** The daemon beside an upstream: admits, dispatches, and remembers what was dispatched. */
import { type Admission, type Permit } from '@cleatquay/admission';
import { levelOf } from '@cleatquay/admission';
import { CALLER_LEFT, type Clock, DEADLINE_PASSED, NOT_NEEDED } from '@cleatquay/clock';
import { type ResultName, resultByCode } from '@cleatquay/errors';
import {
  ANY_EPOCH,
  type AnswerPart,
  type CallContext,
  type Load,
  type Refusal,
  type RequestHead,
  type SealAnswer,
  type SealRequest,
  endOf,
  refusalOf,
} from '@cleatquay/protocol';
import { type CallGraph, type Route } from '@cleatquay/settings';
import { Readable } from 'node:stream';
import { type Dispatcher } from 'undici';
import { AnswerRecorder, toParts } from './answers.js';
import { headerNames, headerRecord, passedHeaders } from './headers.js';
import { type Journal } from './journal.js';
import { RunningCall, type RunningCalls } from './runningCalls.js';
import { type TryMemory } from './tryMemory.js';

/** How long a non-idempotent request may run on after its deadline, so that its outcome gets known, ms. */
export const GRACE_MS = 10_000;

const SHED = [429, 503];
const NEVER_SENT = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'];

/** An announced upstream as calls see it. */
export interface LocalUpstream {
  readonly admission: Admission;
  readonly connections: Dispatcher;
  readonly isDraining: boolean;
}

/** What this side needs of its daemon. */
export interface UpstreamSideOptions {
  readonly clock: Clock;
  readonly epoch: () => number;
  readonly graph: () => CallGraph | undefined;
  /** The upstream of a service beside this daemon. */
  readonly upstream: (service: string) => LocalUpstream | undefined;
  /** The level from which on calls of a route are refused further down. */
  readonly levelBelow: (route: Route) => number;
  readonly tries: TryMemory;
  readonly running: RunningCalls;
  readonly journal: Journal;
}

/** Serves calls for the upstreams beside this daemon. */
export class UpstreamSide {
  constructor(private readonly options: UpstreamSideOptions) {}

  /** One call; see CallHandler. */
  async *handle(
    head: RequestHead,
    body: AsyncIterable<Uint8Array>,
    signal: AbortSignal,
  ): AsyncGenerator<AnswerPart> {
    const context = head.context;
    const route = this.options.graph()?.find(head.service, head.method, head.path);
    const upstream = this.options.upstream(head.service);
    const early = this.refuseEarly(context, route, upstream);
    if (early || !context || !route || !upstream) {
      const refusal = early ?? refusalOf('innerMessageInvalid', 'The call has no context.');
      yield endOf(refusal, context?.retryTokens ?? 0);
      return;
    }
    const permit = await this.admit(context, route, upstream, signal);
    if (!('release' in permit)) {
      yield endOf(permit, context.retryTokens, this.load(upstream, route));
      return;
    }
    yield* this.run(head, context, route, upstream, permit, body, signal);
  }

  /** Answers a sender that lost contact with a try. */
  async seal(request: SealRequest): Promise<SealAnswer> {
    if (request.targetEpoch !== ANY_EPOCH && request.targetEpoch !== this.options.epoch()) {
      return { state: 'OTHER_EPOCH', head: undefined, body: Buffer.alloc(0) };
    }
    return this.options.tries.seal(request);
  }

  private refuseEarly(
    context: CallContext | undefined,
    route: Route | undefined,
    upstream: LocalUpstream | undefined,
  ): Refusal | undefined {
    const elsewhere = { elsewhereHelps: true };
    if (context && context.targetEpoch !== ANY_EPOCH && context.targetEpoch !== this.options.epoch()) {
      return refusalOf('otherEpoch', 'The daemon was restarted.', elsewhere);
    }
    if (!route) return refusalOf('routeUnknown', 'The route is not in the configuration.', elsewhere);
    if (!upstream) return refusalOf('noUpstream', 'The upstream is not here any more.', elsewhere);
    if (upstream.isDraining) return refusalOf('draining', 'The upstream is leaving.', elsewhere);
    return undefined;
  }

  private async admit(
    context: CallContext,
    route: Route,
    upstream: LocalUpstream,
    signal: AbortSignal,
  ): Promise<Permit | Refusal> {
    const { tries, journal } = this.options;
    const { requestId } = context;
    const forbidden = route.idempotent ? undefined : tries.begin(requestId, context.try);
    if (forbidden) return forbidden;
    const level = levelOf(context.class, context.rootId);
    const permit = await upstream.admission.request(level, context.remainingMs, signal);
    if ('release' in permit) {
      if (route.idempotent || tries.dispatch(requestId)) return permit;
      permit.release('failed');
      return refusalOf('sealed', 'The sender gave this try up.');
    }
    if (!route.idempotent) tries.refused(requestId);
    journal.note(requestId, `Refused at level ${level.toFixed(3)}: ${resultByCode(permit.code)}.`);
    return permit;
  }

  private async *run(
    head: RequestHead,
    context: CallContext,
    route: Route,
    upstream: LocalUpstream,
    permit: Permit,
    body: AsyncIterable<Uint8Array>,
    signal: AbortSignal,
  ): AsyncGenerator<AnswerPart> {
    const { clock, tries, running } = this.options;
    const limitMs = context.remainingMs + (route.idempotent ? 0 : GRACE_MS);
    using given = givenUp(clock, limitMs, signal);
    const call = new RunningCall(context, route, clock.now() + context.remainingMs, given.signal);
    using entered = running.enter(call);
    const recorder = new AnswerRecorder();
    let answered = false;
    try {
      const response = await upstream.connections.request({
        method: head.method as 'GET',
        path: head.path,
        headers: upstreamHeaders(head, context),
        body: hasBody(head) ? Readable.from(bodyOf(body)) : null,
        signal: given.signal,
      });
      if (SHED.includes(response.statusCode) && response.headers[headerNames.notRun] !== undefined) {
        await response.body.dump();
        permit.release('shed');
        if (!route.idempotent) tries.notDispatched(context.requestId);
        yield endOf(refusalOf('overloaded', 'The upstream shed the request.', SHED_MORE), call.retryTokens);
        return;
      }
      const answerHead = { status: response.statusCode, headers: passedHeaders(response.headers) };
      const finish = () => {
        permit.release(SHED.includes(response.statusCode) ? 'shed' : 'answered');
        return { load: this.load(upstream, route), unusedRetryTokens: call.retryTokens };
      };
      for await (const part of toParts(answerHead, response.body, finish)) {
        if (!route.idempotent) this.record(context, recorder, part);
        answered ||= part.end !== undefined;
        yield part;
      }
    } catch (error) {
      permit.release('failed');
      const refusal = this.explain(error, given.signal, context, route);
      yield endOf(refusal, call.retryTokens, this.load(upstream, route));
    } finally {
      permit.release('failed');
      if (!route.idempotent && !answered) tries.ended(context.requestId, undefined);
    }
  }

  private record(context: CallContext, recorder: AnswerRecorder, part: AnswerPart): void {
    const answer = recorder.add(part);
    if (part.end) this.options.tries.ended(context.requestId, answer);
  }

  private explain(error: unknown, signal: AbortSignal, context: CallContext, route: Route): Refusal {
    const { code, message } = error as { code?: string; message?: string };
    if (NEVER_SENT.includes(code ?? '')) {
      if (!route.idempotent) this.options.tries.notDispatched(context.requestId);
      return refusalOf('unreachable', 'The upstream takes no connections.', { elsewhereHelps: true });
    }
    const isGivenUp = signal.aborted;
    const result: ResultName = isGivenUp ? 'deadlinePassed' : 'upstreamBroke';
    this.options.journal.note(
      context.requestId,
      `The upstream gave no whole answer: ${message ?? 'unknown error'}.`,
    );
    const text = isGivenUp
      ? `The request was given up. ${String((signal.reason as Error).message)}`
      : 'The upstream broke off.';
    return refusalOf(result, text, { elsewhereHelps: !isGivenUp });
  }

  private load(upstream: LocalUpstream, route: Route): Load {
    const load = upstream.admission.load();
    return { ...load, admissionLevel: Math.min(load.admissionLevel, this.options.levelBelow(route)) };
  }
}

const SHED_MORE = { elsewhereHelps: true, retryAfterMs: 1000 };

/** A signal that aborts when the sender does or the time is up, and its reason tells which. */
function givenUp(clock: Clock, limitMs: number, outer: AbortSignal) {
  const controller = new AbortController();
  const left = () => controller.abort(CALLER_LEFT);
  if (outer.aborted) left();
  outer.addEventListener('abort', left, { once: true });
  const timer = clock.after(limitMs, () => controller.abort(DEADLINE_PASSED));
  return {
    signal: controller.signal,
    [Symbol.dispose]: () => {
      timer[Symbol.dispose]();
      outer.removeEventListener('abort', left);
      controller.abort(NOT_NEEDED);
    },
  };
}

function upstreamHeaders(head: RequestHead, context: CallContext): Record<string, string | string[]> {
  return {
    ...headerRecord(head.headers),
    [headerNames.requestId]: context.requestId,
    [headerNames.timeoutMs]: String(context.remainingMs),
  };
}

function hasBody(head: RequestHead): boolean {
  return head.method !== 'GET' && head.method !== 'HEAD';
}

async function* bodyOf(body: AsyncIterable<Uint8Array>): AsyncIterable<Buffer> {
  for await (const chunk of body) yield Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
}
