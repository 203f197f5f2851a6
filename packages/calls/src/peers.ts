/** The other daemons: a link to each for calls, and a gRPC client for what is rare, made when first needed. */
import { type CancelSignal, Cancellation, type Clock, NOT_NEEDED, type Timer } from '@cleatquay/clock';
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
import { type CallAnswer, type CallBody } from './callHandler.js';
import { LIVENESS_CHECK_INTERVAL_MS, LinkClient } from './link.js';
import { LostContact } from './lostContact.js';

const GRPC_OPTIONS = {
  // What is asked by gRPC is repeated by those who ask, or not at all.
  'grpc.enable_retries': 0,
  'grpc.client_idle_timeout_ms': 60_000,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 2000,
  'grpc.max_receive_message_length': 4 * 1_048_576,
};
/** Ten round trips between the farthest failure domains; a connection that takes longer isn't waited for. */
const CONNECT_TIMEOUT_MS = 400;
const CONFIGURATION_TIMEOUT_MS = 2000;
const NO_CONNECTION = 'No connection established';

/** Pause between looks whether a peer that was lost is back, ms. */
const RECONNECT_INTERVAL_MS = 200;
/** A failure domain is taken for silent when so many of its peers are, and none was heard meanwhile. */
const MIN_UNREACHABLE_PEERS = 2;
const DOMAIN_ACTIVITY_MS = 300;

/** Whether a peer can be expected to answer. */
export type Contact = 'good' | 'silent' | 'lost';

/** Clients of peers. */
export class Peers implements Disposable {
  private isClosed = false;
  private livenessTimer: Timer | undefined;
  private readonly clients = new Map<string, InnerClient>();
  private readonly links = new Map<string, LinkClient>();
  private readonly connecting = new Map<string, Promise<LinkClient>>();
  private readonly reconnections = new Map<string, Cancellation>();

  constructor(
    private readonly clock: Clock,
    /** Whether a peer is cut off; a hook for tests. */
    private readonly isCut: (address: string) => boolean,
  ) {}

  /** One call to a peer. Fails with LostContact when it ends without its last part. */
  async exchange(
    address: string,
    head: RequestHead,
    body: CallBody,
    signal: CancelSignal,
  ): Promise<CallAnswer> {
    if (this.isCut(address)) throw new LostContact(`${address} is cut off.`, true);
    const link = this.links.get(address) ?? (await this.connectOrReconnectLater(address));
    this.scheduleLivenessCheck();
    const answer = await link.exchange(head, body, signal);
    if (this.isCut(address)) throw new LostContact(`${address} was cut off.`, false);
    return answer;
  }

  /** Whether a peer can be expected to answer. */
  contact(address: string): Contact {
    if (this.reconnections.has(address)) return 'lost';
    return this.links.get(address)?.isUnresponsive === true ? 'silent' : 'good';
  }

  /** Whether some of these peers owe answers, and none of them has been heard for a while: their domain is cut off. */
  areCutOff(addresses: readonly string[]): boolean {
    const heardSince = this.clock.now() - DOMAIN_ACTIVITY_MS;
    let mute = 0;
    for (const address of addresses) {
      const isMute = this.contact(address) !== 'good';
      if (isMute) mute++;
      else if ((this.links.get(address)?.lastActivityAt ?? 0) > heardSince) return false;
    }
    return mute >= MIN_UNREACHABLE_PEERS;
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

  /** Asks a peer for what this daemon's configuration lacks. */
  async fetchConfiguration(address: string, question: ConfigurationRequest): Promise<ConfigurationAnswer> {
    if (this.isCut(address)) throw new LostContact(`${address} is cut off.`, true);
    const link = this.links.get(address) ?? (await this.connectOrReconnectLater(address));
    this.scheduleLivenessCheck();
    const late = new Cancellation();
    const inTime = this.clock.sleep(CONFIGURATION_TIMEOUT_MS, late.signal).then(() => {
      throw new LostContact(`${address} did not give its configuration in time.`, false);
    });
    inTime.catch(() => undefined);
    try {
      return await Promise.race([link.fetchConfiguration(question), inTime]);
    } finally {
      late.abort(NOT_NEEDED);
    }
  }

  /** Closes the client of a peer that is gone for good. */
  forget(address: string): void {
    this.reconnections.get(address)?.abort(NOT_NEEDED);
    this.links.get(address)?.fail('is gone');
    this.closeClient(address);
  }

  /** Addresses with a client. */
  get addresses(): string[] {
    return [...this.clients.keys()];
  }

  [Symbol.dispose](): void {
    this.isClosed = true;
    this.livenessTimer?.[Symbol.dispose]();
    for (const watch of this.reconnections.values()) watch.abort(NOT_NEEDED);
    for (const link of [...this.links.values()]) link.fail('is not needed any more');
    for (const address of this.addresses) this.closeClient(address);
  }

  /** One timer for all links: with one each, a daemon would wake up hundreds of times a second. */
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

  /** Looks in the background whether a lost peer is back, so that no call has to find out. */
  private startReconnecting(address: string): void {
    if (this.reconnections.has(address) || this.isClosed) return;
    const watch = new Cancellation();
    this.reconnections.set(address, watch);
    void this.reconnect(address, watch.signal).finally(() => this.reconnections.delete(address));
  }

  private async reconnect(address: string, signal: CancelSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(RECONNECT_INTERVAL_MS, signal);
      if (signal.aborted || this.isCut(address)) continue;
      const link = await this.connect(address).catch(() => undefined);
      if (link) return;
    }
  }

  private closeClient(address: string): void {
    this.clients.get(address)?.close();
    this.clients.delete(address);
  }

  /** The link to a peer; calls that come while it is being made share it. */
  private connect(address: string): Promise<LinkClient> {
    const known = this.links.get(address);
    if (known) return Promise.resolve(known);
    let connecting = this.connecting.get(address);
    if (!connecting) {
      connecting = this.open(address).finally(() => this.connecting.delete(address));
      this.connecting.set(address, connecting);
    }
    return connecting;
  }

  /** Makes a link and waits for the peer's first word, but not long. Nothing was sent when this fails. */
  private async open(address: string): Promise<LinkClient> {
    const { ip, port } = splitAddress(address);
    const socket = connect({ host: ip, port });
    const link = new LinkClient(this.clock, address, socket, () => this.onLinkEnd(address, link));
    const timer = this.clock.after(CONNECT_TIMEOUT_MS, () => link.fail('does not answer'));
    try {
      await link.waitUntilOpen();
      if (this.isClosed) link.fail('is not needed any more');
      else this.links.set(address, link);
      return link;
    } finally {
      timer[Symbol.dispose]();
    }
  }

  /** When a link ends, so does gRPC's connection, over which nothing may come through any more. */
  private onLinkEnd(address: string, link: LinkClient): void {
    if (this.links.get(address) !== link) return;
    this.links.delete(address);
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

function asLostContact(error: unknown, address: string): unknown {
  if (error instanceof LostContact || !(error instanceof Error) || !('code' in error)) return error;
  const { code, details } = error as ServiceError;
  const neverSent = code === status.UNAVAILABLE && (details ?? '').startsWith(NO_CONNECTION);
  return new LostContact(`${address}: ${details ?? error.message}`, neverSent);
}
