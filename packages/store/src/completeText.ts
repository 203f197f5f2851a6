/** Reads the body of a response of the platform, and rejects if it is incomplete as far as that shows. */
import { type Dispatcher } from 'undici';
import { boundedText } from './boundedText.js';

/**
 * The body of a response to a read or a commit. Rows, results and objects are JSON objects, of which no part is JSON itself: this shows whether
 * a response without a length or chunks is complete, which the end of its connection does not.
 */
export async function completeText(response: Dispatcher.ResponseData, maxBytes: number): Promise<string> {
  const text = await boundedText(response.body, maxBytes);
  if (response.statusCode === 200 && !isDelimited(response) && !isJson(text))
    throw new Error('The response ended early.');
  return text;
}

function isDelimited({ headers }: Dispatcher.ResponseData): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] === 'chunked';
}

function isJson(text: string): boolean {
  try {
    JSON.parse(text);
    return true;
  } catch {
    return false;
  }
}
