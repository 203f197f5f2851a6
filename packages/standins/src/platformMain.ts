/** The stand-in platform as a process. Prints its URL as one JSON line once it listens. */
import { StoreStandin } from './storeStandin.js';

const platform = new StoreStandin();
const url = await platform.listen();
process.stdout.write(`${JSON.stringify({ url })}\n`);
