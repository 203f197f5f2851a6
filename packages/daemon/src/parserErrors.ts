/** Responds to input of callers that is not valid HTTP, without disturbing the responses that are being sent on the connection. */
import { type Clock } from '@cleatquay/clock';
import { type Server } from 'node:http';
import { type Socket } from 'node:net';
import { handleParserError } from './callerBody.js';
import { writeHttpParserError } from './callerResponse.js';
import { noteClose } from './closeLog.js';
import { InvalidInput } from './invalidInput.js';
import { type OpenResponses } from './openResponses.js';
import { isPipelineExcess } from './pipelinedRequests.js';

/** Handles the parser errors of a server whose responses are all in `openResponses`. */
export function handleParserErrors(server: Server, openResponses: OpenResponses, clock: Clock): void {
  const invalidInput = new InvalidInput(openResponses, clock);
  server.on('clientError', (error, socket) => {
    const close = () => openResponses.closeConnection(socket as Socket);
    invalidInput.handle(error, socket as Socket, () => {
      if (isPipelineExcess(error)) {
        noteClose(socket, 'pipelinedRequests');
        return writeHttpParserError(error, socket, 'overloaded');
      }
      // The errors of a socket, and the end of its receiving side within a message, are errors of the parser, too.
      if (!socket.errored && !socket.readableEnded) noteClose(socket, 'invalidInput');
      handleParserError(error, socket, close);
    });
  });
}
