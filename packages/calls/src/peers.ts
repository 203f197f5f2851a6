/** The other daemons, over gRPC: one client for each, made when first needed. */
import { type Clock } from '@cleatquay/clock';
import {
  type AnswerPart,
  type ConfigurationAnswer,
  InnerClient,
  type RequestHead,
  type RequestPart,
  type SealAnswer,
  type SealRequest,
} from '@cleatquay/protocol';
import {
  type ClientDuplexStream,
  Metadata,
  type ServiceError,
  connectivityState,
  credentials,
  status,
} from '@grpc/grpc-js';
import { once } from 'node:events';
import { HELD_BYTES } from './answers.js';
import { streamParts } from './streamParts.js';

const OPTIONS = {
  'grpc.keepalive_time_ms': 1000,
  'grpc.keepalive_timeout_ms': 500,
  'grpc.client_idle_timeout_ms': 60_000,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 2000,
  'grpc.max_receive_message_length': 4 * 1_048_576,
};
const CONNECT_TIMEOUT_MS = 1000;
const CONFIGURATION_TIMEOUT_MS = 2000;
const NO_CONNECTION = 'No connection established';
const NOTHING = Buffer.alloc(0);

/** Contact with a peer failed. */
export class LostContact extends Error {
  constructor(
    message: string,
    /** True when it is certain that the peer got nothing. */
    readonly neverSent: boolean,
  ) {
    super(message);
  }
}

/** Clients of peers. */
export class Peers implements Disposable {
  private readonly clients = new Map<string, InnerClient>();

  constructor(
    private readonly clock: Clock,
    /** Whether a peer is cut off; a hook for tests. */
    private readonly isCut: (address: string) => boolean,
  ) {}

  /** One call to a peer. Throws LostContact when it ends without its last part. */
  async *exchange(
    address: string,
    head: RequestHead,
    body: AsyncIterable<Uint8Array>,
    signal: AbortSignal,
  ): AsyncGenerator<AnswerPart> {
    if (this.isCut(address)) throw new LostContact(`${address} is cut off.`, true);
    await this.connected(address);
    const call = this.open(address);
    const cancel = () => call.cancel();
    signal.addEventListener('abort', cancel, { once: true });
    let complete = false;
    try {
      void send(call, head, body).catch(cancel);
      for await (const part of streamParts<AnswerPart>(call)) {
        if (this.isCut(address)) throw new LostContact(`${address} was cut off.`, false);
        complete = part.end !== undefined || part.refusal !== undefined;
        yield part;
        if (complete) return;
      }
      throw new LostContact(`${address} ended the exchange early.`, false);
    } catch (error) {
      throw asLostContact(error, address);
    } finally {
      signal.removeEventListener('abort', cancel);
      if (complete) call.resume();
      else call.cancel();
    }
  }

  /** Asks a peer to seal a try. */
  async seal(address: string, request: SealRequest, timeoutMs: number): Promise<SealAnswer> {
    if (this.isCut(address)) throw new LostContact(`${address} is cut off.`, true);
    return new Promise((resolve, reject) => {
      const deadline = Date.now() + timeoutMs;
      this.client(address).seal(request, new Metadata(), { deadline }, (error, answer) => {
        if (error) reject(asLostContact(error, address));
        else resolve(answer);
      });
    });
  }

  /** Asks a peer for its configuration over a generation. */
  async fetchConfiguration(address: string, generation: number): Promise<ConfigurationAnswer> {
    if (this.isCut(address)) throw new LostContact(`${address} is cut off.`, true);
    return new Promise((resolve, reject) => {
      const deadline = Date.now() + CONFIGURATION_TIMEOUT_MS;
      this.client(address).fetchConfiguration(
        { generation },
        new Metadata(),
        { deadline },
        (error, answer) => {
          if (error) reject(asLostContact(error, address));
          else resolve(answer);
        },
      );
    });
  }

  /** Closes the client of a peer that is gone for good. */
  forget(address: string): void {
    this.clients.get(address)?.close();
    this.clients.delete(address);
  }

  /** Addresses with a client. */
  get addresses(): string[] {
    return [...this.clients.keys()];
  }

  [Symbol.dispose](): void {
    for (const client of this.clients.values()) client.close();
    this.clients.clear();
  }

  /** gRPC notes the stack of each call for its errors; collecting it costs a quarter of the call, and nobody reads it. */
  private open(address: string): ClientDuplexStream<RequestPart, AnswerPart> {
    const client = this.client(address);
    const limit = Error.stackTraceLimit;
    Error.stackTraceLimit = 0;
    try {
      return client.exchange();
    } finally {
      Error.stackTraceLimit = limit;
    }
  }

  /**
   * Waits for a connection, but not long: a frozen process lets connections in and then says nothing.
   * Nothing was sent when this fails.
   */
  private async connected(address: string): Promise<void> {
    const channel = this.client(address).getChannel();
    const deadline = Date.now() + CONNECT_TIMEOUT_MS;
    for (;;) {
      const state = channel.getConnectivityState(true);
      if (state === connectivityState.READY) return;
      if (state === connectivityState.TRANSIENT_FAILURE)
        throw new LostContact(`${address} takes no connections.`, true);
      const changed = await new Promise(resolve => {
        channel.watchConnectivityState(state, deadline, error => resolve(error === undefined));
      });
      if (!changed) throw new LostContact(`${address} lets in connections and says nothing.`, true);
    }
  }

  private client(address: string): InnerClient {
    let client = this.clients.get(address);
    if (!client) {
      client = new InnerClient(address, credentials.createInsecure(), OPTIONS);
      this.clients.set(address, client);
    }
    return client;
  }
}

/** Sends the request; a small body goes in the first message. */
async function send(
  call: ClientDuplexStream<RequestPart, AnswerPart>,
  head: RequestHead,
  body: AsyncIterable<Uint8Array>,
): Promise<void> {
  let pending: Uint8Array[] = [];
  let bytes = 0;
  let headToSend: RequestHead | undefined = head;
  for await (const chunk of body) {
    pending.push(chunk);
    bytes += chunk.length;
    if (bytes < HELD_BYTES) continue;
    const flowing = call.write({ head: headToSend, body: Buffer.concat(pending), last: false });
    headToSend = undefined;
    pending = [];
    bytes = 0;
    if (!flowing) await once(call, 'drain');
  }
  call.end({ head: headToSend, body: bytes === 0 ? NOTHING : Buffer.concat(pending), last: true });
}

function asLostContact(error: unknown, address: string): unknown {
  if (error instanceof LostContact || !(error instanceof Error) || !('code' in error)) return error;
  const { code, details } = error as ServiceError;
  const neverSent = code === status.UNAVAILABLE && (details ?? '').startsWith(NO_CONNECTION);
  return new LostContact(`${address}: ${details ?? error.message}`, neverSent);
}
