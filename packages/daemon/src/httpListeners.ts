/** HTTP servers of a daemon that handle requests without moleculer-web, which only starts and stops them. */
import { Failure } from '@cleatquay/errors';
import { splitAddress } from '@cleatquay/settings';
import { type Service, type ServiceBroker } from 'moleculer';
import ApiGateway from 'moleculer-web';
import { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo } from 'node:net';
import { gatewaySettings } from './gatewaySettings.js';

/** An additional plain HTTP listener that a platform adapter defines. */
export interface Listener {
  readonly name: string;
  /** ip:port */
  readonly address: string;
  readonly handle: (request: IncomingMessage, response: ServerResponse) => void;
}

/** Replaces the default route of moleculer-web, for which it would load its body parser. */
const UNUSED_ROUTE = { path: '/', bodyParsers: false };

interface BoundServer {
  readonly name: string;
  readonly ip: string;
  readonly server: Server;
}

/** A set of servers, which listen from the start of the broker until it stops. */
export class HttpListeners {
  private readonly bound: BoundServer[] = [];

  constructor(private readonly broker: ServiceBroker) {}

  /** Adds a server that will listen at `address`, ip:port. */
  add(name: string, address: string, server: Server): void {
    const { ip, port } = splitAddress(address);
    this.bound.push({ name, ip, server });
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

  get servers(): readonly Server[] {
    return this.bound.map(({ server }) => server);
  }

  /** Listen addresses by name, ip:port. */
  get addresses(): ReadonlyMap<string, string> {
    return new Map(this.bound.map(({ name, ip, server }) => [name, listenAddress(ip, server)]));
  }

  /** Accepts no further connections: one that never sends a request would keep a server from closing. */
  stopAccepting(): void {
    for (const { server } of this.bound) server.close();
  }

  /** Closes all open connections, also those in use. */
  closeConnections(): void {
    for (const { server } of this.bound) server.closeAllConnections();
  }
}

/**
 * Starts the broker and the servers of its services. Rejects if one of them can't listen: moleculer-web only logs that error,
 * with a logger that is off here, so the daemon would stay partly started without any sign of it.
 */
export async function startServers(broker: ServiceBroker, servers: readonly Server[]): Promise<void> {
  const failed = new Promise<never>((_resolve, reject) => {
    const fail = ({ message }: Error) => reject(new Failure(`${message}.`, { result: 'addressTaken' }));
    for (const server of servers) server.once('error', fail);
  });
  await Promise.race([broker.start(), failed]);
}

/** The HTTP server that moleculer-web created for a service. */
export function serverOf(service: Service): Server {
  return (service as Service & { server: Server }).server;
}

/** Listen address of a server, ip:port. */
export function listenAddress(ip: string, server: Server): string {
  return `${ip}:${String((server.address() as AddressInfo).port)}`;
}
