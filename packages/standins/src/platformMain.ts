/** The stand-in platform as a process. Prints its URL as one JSON line once it listens. */
import { PlatformStandin } from './platformStandin.js';

const platform = new PlatformStandin();
const url = await platform.listen();
process.stdout.write(`${JSON.stringify({ url })}\n`);
