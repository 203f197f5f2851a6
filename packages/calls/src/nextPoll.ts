/** Waiting for the event loop to read what has come. */

/**
 * Resolves when what has come on all connections is read. After a lag the end of a connection, or the word that a call
 * is given up, is read right after the request, though it came long after it.
 */
export async function nextPoll(): Promise<void> {
  await new Promise(resolve => setImmediate(resolve));
  await new Promise(resolve => setImmediate(resolve));
}
