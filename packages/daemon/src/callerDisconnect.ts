/** Detects as early as possible that a caller has disconnected. */
import { CALLER_DISCONNECTED, Cancellation } from '@cleatquay/clock';
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Socket } from 'node:net';

/** The cancellations of the requests that are being served on a caller's connection, in their order. */
type ServedRequests = Map<ServerResponse, Cancellation>;

const connections = new WeakMap<Socket, ServedRequests>();

/**
 * Aborts when the caller disconnects before its response is complete. Node emits the response's 'close' one event loop
 * iteration after it has read the end of the connection. A request that is due in that iteration would be started for a
 * disconnected caller, so the socket's 'end' is observed, too.
 */
export function disconnectSignalOf(request: IncomingMessage, response: ServerResponse): Cancellation {
  const disconnect = new Cancellation();
  const served = servedOn(request.socket);
  served.set(response, disconnect);
  response.on('close', () => {
    served.delete(response);
    if (!response.writableFinished) disconnect.abort(CALLER_DISCONNECTED);
  });
  return disconnect;
}

function servedOn(socket: Socket): ServedRequests {
  const existing = connections.get(socket);
  if (existing) return existing;
  const served: ServedRequests = new Map();
  connections.set(socket, served);
  socket.once('end', () => {
    for (const disconnect of served.values()) disconnect.abort(CALLER_DISCONNECTED);
  });
  socket.once('close', () => closeQueued([...served.keys()]));
  return served;
}

/** Closes responses that waited for an earlier one on a connection that has closed. Node emits 'close' only on the one that it was sending. */
function closeQueued(responses: readonly ServerResponse[]): void {
  for (const response of responses) {
    if (response.socket) continue;
    response.destroy();
    response.emit('close');
  }
}
