/** Connections to other daemons, opened on first use: a link to each for calls, and a gRPC client for rare requests. */
import {
  type CancelSignal,
  Cancellation,
  type Clock,
  NO_LONGER_NEEDED,
  type Timer,
  type WorkMeter,
} from '@cleatquay/clock';
import {
  type ConfigurationAnswer,
  type ConfigurationRequest,
  InnerClient,
  type RequestHead,
  type SealAnswer,
  type SealRequest,
} from '@cleatquay/protocol';
import { splitAddress } from '@cleatquay/settings';
import { Metadata, type ServiceError, credentials, status } from '@grpc/grpc-js';
import { connect } from 'node:net';
import { type CallResponse, type CallBody } from './callHandler.js';
import { LIVENESS_CHECK_INTERVAL_MS, LinkClient } from './linkClient.js';
import { ConnectionLoss } from './connectionLoss.js';
import { type StreamPacer } from './streamPacer.js';

const GRPC_OPTIONS = {
  // Callers retry gRPC requests themselves where that is safe.
  'grpc.enable_retries': 0,
  'grpc.client_idle_timeout_ms': 60_000,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 2000,
  'grpc.max_receive_message_length': 4 * 1_048_576,
};
/** Ten round trips between the farthest failure domains; a connection attempt that takes longer is abandoned. */
const CONNECT_TIMEOUT_MS = 400;
const CONFIGURATION_TIMEOUT_MS = 2000;
/** The error details of grpc-js for a request that was never sent begin with this. */
const NO_CONNECTION = 'No connection established';

/** Interval of attempts to reconnect to an unreachable peer. */
const RECONNECT_INTERVAL_MS = 200;
/** A failure domain is considered partitioned if at least this many of its peers do not respond and no other was active recently. */
const MIN_UNREACHABLE_PEERS = 2;
/** A peer that sent something within this time shows that its failure domain is not partitioned. */
const DOMAIN_ACTIVITY_MS = 300;

/** Whether a peer can be expected to respond: it does, it has stopped responding, or its connection was lost. */
export type Reachability = 'good' | 'silent' | 'lost';

/** Links and gRPC clients by the addresses of peers. */
export class Peers implements Disposable {
  private isClosed = false;
  private livenessTimer: Timer | undefined;
  private readonly clients = new Map<string, InnerClient>();
  private readonly links = new Map<string, LinkClient>();
  private readonly connecting = new Map<string, Promise<LinkClient>>();
  private readonly reconnections = new Map<string, Cancellation>();

  constructor(
    private readonly clock: Clock,
    /** Whether fault injection drops the traffic to a peer; a hook for tests. */
    private readonly isPartitioned: (address: string) => boolean,
    private readonly pacer: StreamPacer,
    /** Called with the address of a peer when the link to it has ended. */
    private readonly onLinkLost: (address: string) => void = () => undefined,
    /** Measures the handlers of links. */
    private readonly meter?: WorkMeter,
  ) {}

  /** Makes one call to a peer. Rejects with ConnectionLoss if the call ends before its last part. */
  async exchange(
    address: string,
    head: RequestHead,
    body: CallBody,
    signal: CancelSignal,
  ): Promise<CallResponse> {
    if (this.isPartitioned(address)) throw new ConnectionLoss(`${address} is partitioned.`, true);
    const link = this.links.get(address) ?? (await this.connectOrReconnectLater(address));
    this.scheduleLivenessCheck();
    const response = await link.exchange(head, body, signal);
    if (this.isPartitioned(address))
      throw new ConnectionLoss(`${address} was partitioned during the call.`, false, link.process);
    const { first, rest } = response;
    return rest ? { first, rest: this.pacer.pace(rest, part => part.body.length) } : response;
  }

  /** Whether a peer can be expected to respond. */
  reachabilityOf(address: string): Reachability {
    if (this.reconnections.has(address)) return 'lost';
    return this.links.get(address)?.isUnresponsive === true ? 'silent' : 'good';
  }

  /** Whether the failure domain of these peers looks partitioned: several of them do not respond, and no other was active recently. */
  arePartitioned(addresses: readonly string[]): boolean {
    const activeSince = this.clock.now() - DOMAIN_ACTIVITY_MS;
    let unreachablePeers = 0;
    for (const address of addresses) {
      const isUnreachable = this.reachabilityOf(address) !== 'good';
      if (isUnreachable) unreachablePeers++;
      else if ((this.links.get(address)?.lastActivityAt ?? 0) > activeSince) return false;
    }
    return unreachablePeers >= MIN_UNREACHABLE_PEERS;
  }

  /** Requests that a peer seals an attempt, which bars it from dispatch. */
  async seal(address: string, request: SealRequest, timeoutMs: number): Promise<SealAnswer> {
    if (this.isPartitioned(address)) throw new ConnectionLoss(`${address} is partitioned.`, true);
    return new Promise((resolve, reject) => {
      const deadline = Date.now() + timeoutMs;
      this.client(address).seal(request, new Metadata(), { deadline }, (error, response) => {
        if (error) reject(toConnectionLoss(error, address));
        else resolve(response);
      });
    });
  }

  /** Fetches from a peer what this daemon's configuration lacks. */
  async fetchConfiguration(address: string, request: ConfigurationRequest): Promise<ConfigurationAnswer> {
    if (this.isPartitioned(address)) throw new ConnectionLoss(`${address} is partitioned.`, true);
    const link = this.links.get(address) ?? (await this.connectOrReconnectLater(address));
    this.scheduleLivenessCheck();
    const cancellation = new Cancellation();
    const timeout = this.clock.sleep(CONFIGURATION_TIMEOUT_MS, cancellation.signal).then(() => {
      throw new ConnectionLoss(`${address} did not send its configuration in time.`, false);
    });
    timeout.catch(() => undefined);
    try {
      return await Promise.race([link.fetchConfiguration(request), timeout]);
    } finally {
      cancellation.abort(NO_LONGER_NEEDED);
    }
  }

  /** Closes the connections to a peer that was removed permanently. */
  forget(address: string): void {
    this.reconnections.get(address)?.abort(NO_LONGER_NEEDED);
    this.links.get(address)?.fail('was removed from the fleet');
    this.closeClient(address);
  }

  /** Addresses of peers with a gRPC client. */
  get addresses(): string[] {
    return [...this.clients.keys()];
  }

  [Symbol.dispose](): void {
    this.isClosed = true;
    this.livenessTimer?.[Symbol.dispose]();
    for (const reconnection of this.reconnections.values()) reconnection.abort(NO_LONGER_NEEDED);
    for (const link of [...this.links.values()]) link.fail('is no longer needed');
    for (const address of this.addresses) this.closeClient(address);
  }

  /** A single timer serves all links: with a timer for each, a daemon would wake up hundreds of times a second. */
  private checkLinks(): void {
    this.livenessTimer = undefined;
    for (const link of [...this.links.values()]) link.checkLiveness();
    const isInUse = [...this.links.values()].some(link => link.isInUse);
    if (isInUse && !this.isClosed)
      this.livenessTimer = this.clock.after(LIVENESS_CHECK_INTERVAL_MS, () => this.checkLinks());
  }

  private scheduleLivenessCheck(): void {
    this.livenessTimer ??= this.clock.after(LIVENESS_CHECK_INTERVAL_MS, () => this.checkLinks());
  }

  private async connectOrReconnectLater(address: string): Promise<LinkClient> {
    try {
      return await this.connect(address);
    } catch (error) {
      this.startReconnecting(address);
      throw error;
    }
  }

  /** Reconnects to an unreachable peer in the background, so that no call is spent on probing it. */
  private startReconnecting(address: string): void {
    if (this.reconnections.has(address) || this.isClosed) return;
    const cancellation = new Cancellation();
    this.reconnections.set(address, cancellation);
    void this.reconnect(address, cancellation.signal).finally(() => this.reconnections.delete(address));
  }

  private async reconnect(address: string, signal: CancelSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(RECONNECT_INTERVAL_MS, signal);
      if (signal.aborted || this.isPartitioned(address)) continue;
      const link = await this.connect(address).catch(() => undefined);
      if (link) return;
    }
  }

  private closeClient(address: string): void {
    this.clients.get(address)?.close();
    this.clients.delete(address);
  }

  /** The link to a peer; concurrent calls share one connection attempt. */
  private connect(address: string): Promise<LinkClient> {
    const link = this.links.get(address);
    if (link) return Promise.resolve(link);
    let connecting = this.connecting.get(address);
    if (!connecting) {
      connecting = this.open(address).finally(() => this.connecting.delete(address));
      this.connecting.set(address, connecting);
    }
    return connecting;
  }

  /** Opens a link and waits up to `CONNECT_TIMEOUT_MS` for the peer's first response. If this fails, no request was sent. */
  private async open(address: string): Promise<LinkClient> {
    const { ip, port } = splitAddress(address);
    const socket = connect({ host: ip, port });
    const link = new LinkClient(
      this.clock,
      address,
      socket,
      () => this.onLinkEnd(address, link),
      this.pacer.memory,
      this.meter,
    );
    const timer = this.clock.after(CONNECT_TIMEOUT_MS, () => link.fail('did not respond in time'));
    try {
      await link.waitUntilOpen();
      if (this.isClosed) link.fail('is no longer needed');
      else this.links.set(address, link);
      return link;
    } finally {
      timer[Symbol.dispose]();
    }
  }

  /** Closes the gRPC client, too, since its connection is likely to have failed with the link. */
  private onLinkEnd(address: string, link: LinkClient): void {
    if (this.links.get(address) !== link) return;
    this.links.delete(address);
    this.onLinkLost(address);
    this.closeClient(address);
    this.startReconnecting(address);
  }

  private client(address: string): InnerClient {
    let client = this.clients.get(address);
    if (!client) {
      client = new InnerClient(address, credentials.createInsecure(), GRPC_OPTIONS);
      this.clients.set(address, client);
    }
    return client;
  }
}

function toConnectionLoss(error: unknown, address: string): unknown {
  if (error instanceof ConnectionLoss || !(error instanceof Error) || !('code' in error)) return error;
  const { code, details } = error as ServiceError;
  const neverSent = code === status.UNAVAILABLE && (details ?? '').startsWith(NO_CONNECTION);
  return new ConnectionLoss(`${address}: ${details ?? error.message}`, neverSent);
}
