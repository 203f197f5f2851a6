/** Where a daemon process writes its log: standard output, without ever waiting for whoever reads it. */
import { type Clock } from '@cleatquay/clock';
import { type DestinationStream, destination } from 'pino';

/** Log lines buffered while the reader of standard output stalls; further lines are dropped. */
const MAX_BUFFER_BYTES = 1_048_576;
/** Log lines are written in blocks of this size, or at this interval: a write for each line would wake the process too often. */
const WRITE_BYTES = 8192;
const FLUSH_INTERVAL_MS = 500;
/** Time for the last lines to be written before the process exits, ms. */
const LAST_FLUSH_MS = 100;
const STANDARD_OUTPUT = 1;

/** The log output of this process. Once disposed of, no line is written any more. */
export class LogOutput implements AsyncDisposable {
  readonly stream: DestinationStream;
  private readonly buffer: ReturnType<typeof destination>;
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly clock: Clock) {
    // Opening the stream makes the descriptor non-blocking. A thread that waits in a write would hold up the exit of the process.
    void process.stdout;
    this.buffer = destination({
      dest: STANDARD_OUTPUT,
      sync: false,
      maxLength: MAX_BUFFER_BYTES,
      minLength: WRITE_BYTES,
    });
    // Without a listener, lines that can't be written, for example since the disk is full, would end the process.
    this.buffer.on('error', () => undefined);
    this.stream = this.buffer;
    this.timer = setInterval(() => this.buffer.flush(), FLUSH_INTERVAL_MS);
    this.timer.unref();
  }

  /** Writes what is buffered, for a bounded time. Lines that are left then are lost: at its exit, the process would wait for their reader. */
  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.timer);
    const flushed = new Promise<void>(resolve => this.buffer.flush(() => resolve()));
    await Promise.race([flushed, this.clock.sleep(LAST_FLUSH_MS)]);
    this.buffer.destroy();
  }
}
