/** Tells as early as possible that a caller has left. */
import { CALLER_LEFT, Cancellation } from '@cleatquay/clock';
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Socket } from 'node:net';

/** A connection of a caller. */
interface Connection {
  /** The request that is being served on it. */
  current: Cancellation | undefined;
}

const connections = new WeakMap<Socket, Connection>();

/**
 * Aborts when the caller leaves before its answer is finished. Node closes a response only a turn of the event loop after it has read
 * the end of the connection; a request that waits for that turn would be begun for nobody, so that the end itself is listened to.
 */
export function departureOf(request: IncomingMessage, response: ServerResponse): Cancellation {
  const gone = new Cancellation();
  const connection = connectionOf(request.socket);
  connection.current = gone;
  response.on('close', () => {
    if (connection.current === gone) connection.current = undefined;
    if (!response.writableFinished) gone.abort(CALLER_LEFT);
  });
  return gone;
}

function connectionOf(socket: Socket): Connection {
  const known = connections.get(socket);
  if (known) return known;
  const connection: Connection = { current: undefined };
  connections.set(socket, connection);
  socket.once('end', () => connection.current?.abort(CALLER_LEFT));
  return connection;
}
