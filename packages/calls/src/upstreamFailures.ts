/** What a request that failed at its upstream shows: whether it ran, whether the upstream crashed, and what its sender is told. */
import { type Permit } from '@cleatquay/admission';
import { type CancelSignal } from '@cleatquay/clock';
import { type CallContext, type Refusal, type RequestHead, createRefusal } from '@cleatquay/protocol';
import { type Quarantine, type QuarantineStatus } from '@cleatquay/quarantine';
import { type AttemptRegistry } from './attemptRegistry.js';
import { type CallBody, type CallRoute } from './callHandler.js';
import { isConnectFailure } from './connectFailure.js';
import { type CrashDetector, type UpstreamCrash, receivedFingerprint } from './crashDetector.js';
import { type DecisionTrace } from './decisionTrace.js';
import { type LocalUpstream } from './localUpstream.js';
import { UnqueuedRequest, unqueuedRefusal } from './requestProgress.js';
import { brokenIntakeRefusal } from './uploadIntake.js';
import { ResponseMismatch } from './upstreamExchange.js';

/** A call that has been admitted. */
export interface AdmittedCall {
  readonly head: RequestHead;
  readonly context: CallContext;
  readonly route: CallRoute;
  readonly upstream: LocalUpstream;
  readonly permit: Permit;
  readonly body: CallBody;
}

/** Dependencies on the daemon. */
export interface UpstreamFailuresOptions {
  readonly attempts: AttemptRegistry;
  readonly crashDetector: CrashDetector;
  readonly quarantine: Quarantine;
  readonly decisionTrace: DecisionTrace;
}

/** Whether a call is suspect or quarantined. Its fingerprint is computed only while there are suspects. */
export function quarantineStatusOf(
  quarantine: Quarantine,
  { head, body }: Pick<AdmittedCall, 'head' | 'body'>,
): QuarantineStatus {
  const fingerprint = quarantine.isEmpty ? undefined : receivedFingerprint(head, body);
  return fingerprint === undefined ? 'free' : quarantine.statusOf(fingerprint);
}

/** Refuses calls whose requests to the upstream failed. */
export class UpstreamFailures {
  constructor(private readonly options: UpstreamFailuresOptions) {}

  /** The refusal of a call whose request ended with this error. `signal` is the one that cancels the request. */
  refusalFor(error: unknown, signal: CancelSignal, call: AdmittedCall): Refusal | Promise<Refusal> {
    const { attempts, decisionTrace } = this.options;
    const { context, route, upstream, permit } = call;
    const broken = brokenIntakeRefusal(call.body);
    if (broken) {
      if (broken.outcome === 'not-run') attempts.markNotDispatched(context.requestId);
      decisionTrace.requestEnded(context.requestId, true);
      return broken;
    }
    if (error instanceof UnqueuedRequest) {
      permit.release('shed');
      decisionTrace.record(context.requestId, error.message);
      return unqueuedRefusal(error, route.idempotent);
    }
    if (isConnectFailure(error)) {
      if (!route.idempotent) attempts.markNotDispatched(context.requestId);
      const { code = 'unknown', syscall = 'none' } = error as { code?: string; syscall?: string };
      decisionTrace.record(context.requestId, 'No connection to the upstream could be opened.', {
        code,
        syscall,
      });
      decisionTrace.requestEnded(context.requestId, true);
      upstream.onConnectionRefused();
      return createRefusal('unreachable', 'The upstream refused the connection.', { elsewhereHelps: true });
    }
    this.recordIncomplete(error, call);
    return signal.aborted ? this.refuseCancelled(signal, call) : this.refuseBroken(error, call);
  }

  private recordIncomplete(error: unknown, { context, upstream }: AdmittedCall): void {
    const { message } = error as { message?: string };
    this.options.decisionTrace.record(context.requestId, 'The upstream sent no complete response.', {
      why: message ?? 'unknown',
      ...upstream.connections.failedConnection(error),
    });
  }

  private refuseCancelled(signal: CancelSignal, { context }: AdmittedCall): Refusal {
    this.options.decisionTrace.requestEnded(context.requestId, true);
    const { message } = signal.reason as Error;
    return createRefusal('deadlinePassed', `The request was cancelled. ${message}`);
  }

  private async refuseBroken(error: unknown, call: AdmittedCall): Promise<Refusal> {
    const { crashDetector, decisionTrace, quarantine } = this.options;
    const { context, upstream } = call;
    upstream.connections.suspendReuse();
    const mismatch = error instanceof ResponseMismatch ? error : undefined;
    const crash = mismatch ? undefined : await crashDetector.checkForCrash(upstream);
    if (crash) this.recordCrash(crash, call);
    decisionTrace.requestEnded(context.requestId, true);
    if (!crash) {
      const text = mismatch?.message ?? 'The upstream failed before its response was complete.';
      return createRefusal('upstreamBroke', text, { elsewhereHelps: true });
    }
    upstream.onConnectionRefused();
    // The sender may not have received yet that the request is quarantined.
    const elsewhereHelps = quarantineStatusOf(quarantine, call) !== 'held';
    return createRefusal('upstreamEnded', 'The upstream crashed.', {
      elsewhereHelps,
      endedStart: crash.start,
    });
  }

  private recordCrash({ start, requests }: UpstreamCrash, { context, head, body }: AdmittedCall): void {
    const fingerprint = receivedFingerprint(head, body) ?? 'unknown';
    const facts = { start, running: requests.length, fingerprint };
    this.options.decisionTrace.record(
      context.requestId,
      'The upstream crashed while it ran the request.',
      facts,
    );
  }
}
