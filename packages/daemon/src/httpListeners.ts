/** HTTP servers of a daemon that answer by themselves: moleculer-web listens and closes, and routes nothing. */
import { Failure } from '@cleatquay/errors';
import { splitAddress } from '@cleatquay/settings';
import { type Service, type ServiceBroker } from 'moleculer';
import ApiGateway from 'moleculer-web';
import { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo } from 'node:net';
import { gatewaySettings } from './gatewaySettings.js';

/** A plain HTTP listener of an installation, beside that for callers. */
export interface Listener {
  readonly name: string;
  /** ip:port */
  readonly address: string;
  readonly handle: (request: IncomingMessage, response: ServerResponse) => void;
}

/** In place of the route that moleculer-web adds where there is none, and whose parser of bodies it would load. */
const UNUSED_ROUTE = { path: '/', bodyParsers: false };

interface Listening {
  readonly name: string;
  readonly ip: string;
  readonly server: Server;
}

/** The servers; they listen from the start of the broker until it stops. */
export class HttpListeners {
  private readonly listening: Listening[] = [];

  constructor(private readonly broker: ServiceBroker) {}

  /** Adds a server that is to listen at `address`, ip:port. */
  add(name: string, address: string, server: Server): void {
    const { ip, port } = splitAddress(address);
    this.listening.push({ name, ip, server });
    this.broker.createService({
      name,
      mixins: [ApiGateway],
      settings: { ...gatewaySettings(ip, port), routes: [UNUSED_ROUTE] },
      methods: {
        createServer(this: Service & { server: Server }) {
          this.server = server;
        },
      },
    });
  }

  /** All of them. */
  get servers(): readonly Server[] {
    return this.listening.map(({ server }) => server);
  }

  /** Where they listen, by name. */
  get addresses(): ReadonlyMap<string, string> {
    return new Map(this.listening.map(({ name, ip, server }) => [name, addressOf(ip, server)]));
  }

  /** Lets nobody in any more: a connection on which nothing is ever said would keep a server from closing. */
  stopAccepting(): void {
    for (const { server } of this.listening) server.close();
  }

  /** Closes what is open, whether it is in use or not. */
  closeConnections(): void {
    for (const { server } of this.listening) server.closeAllConnections();
  }
}

/**
 * Starts the broker, and with it the servers of its services. Fails when one of them can't listen: moleculer-web only logs that, and the daemon would go
 * on half started, for good and without a word.
 */
export async function startServers(broker: ServiceBroker, servers: readonly Server[]): Promise<void> {
  const refused = new Promise<never>((_resolve, reject) => {
    const refuse = ({ message }: Error) => reject(new Failure(`${message}.`, { result: 'addressTaken' }));
    for (const server of servers) server.once('error', refuse);
  });
  await Promise.race([broker.start(), refused]);
}

/** The HTTP server that moleculer-web made for a service. */
export function serverOf(service: Service): Server {
  return (service as Service & { server: Server }).server;
}

/** ip:port at which a server listens. */
export function addressOf(ip: string, server: Server): string {
  return `${ip}:${String((server.address() as AddressInfo).port)}`;
}
