/** Detects as early as possible that a caller has disconnected. */
import { CALLER_DISCONNECTED, Cancellation } from '@cleatquay/clock';
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Socket } from 'node:net';

/** A caller's connection. */
interface CallerConnection {
  /** Cancellation of the request that is being served on it. */
  current: Cancellation | undefined;
}

const connections = new WeakMap<Socket, CallerConnection>();

/**
 * Aborts when the caller disconnects before its response is complete. Node emits the response's 'close' one event loop
 * iteration after it has read the end of the connection. A request that is due in that iteration would be started for a
 * disconnected caller, so the socket's 'end' is observed, too.
 */
export function disconnectSignalOf(request: IncomingMessage, response: ServerResponse): Cancellation {
  const disconnect = new Cancellation();
  const connection = connectionOf(request.socket);
  connection.current = disconnect;
  response.on('close', () => {
    if (connection.current === disconnect) connection.current = undefined;
    if (!response.writableFinished) disconnect.abort(CALLER_DISCONNECTED);
  });
  return disconnect;
}

function connectionOf(socket: Socket): CallerConnection {
  const existing = connections.get(socket);
  if (existing) return existing;
  const connection: CallerConnection = { current: undefined };
  connections.set(socket, connection);
  socket.once('end', () => connection.current?.abort(CALLER_DISCONNECTED));
  return connection;
}
