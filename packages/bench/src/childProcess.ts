/** A started process of ours, and its first line of JSON. */
import { type ChildProcess, spawn } from 'node:child_process';
import { createInterface } from 'node:readline';

const START_TIMEOUT_MS = 30_000;
const MAX_HEAP_MB = 512;
const SIGTERM_EXIT_CODE = 143;

/** Those that run; none of them outlives this process, however it ends. */
const runningChildren = new Set<ChildProcess>();
process.once('exit', () => runningChildren.forEach(child => child.kill('SIGKILL')));
for (const signal of ['SIGTERM', 'SIGHUP'] as const)
  process.once(signal, () => process.exit(SIGTERM_EXIT_CODE));

/** Owns one process; disposing kills it. */
export class ManagedProcess implements AsyncDisposable {
  private constructor(
    private readonly child: ChildProcess,
    /** The first JSON line of its output that `isReady` took. */
    readonly ready: Record<string, unknown>,
    /** Resolves with the exit code, or the signal's name. */
    readonly exited: Promise<number | string>,
  ) {}

  /** Starts a node program and waits until it says that it is ready. */
  static async start(script: string, args: string[], readyField: string): Promise<ManagedProcess> {
    const options = [`--max-old-space-size=${String(MAX_HEAP_MB)}`, script, ...args];
    const child = spawn(process.execPath, options, { stdio: ['ignore', 'pipe', 'pipe'] });
    const exited = new Promise<number | string>(resolve => {
      runningChildren.add(child);
      child.once('exit', (code, signal) => {
        runningChildren.delete(child);
        resolve(code ?? signal ?? 'unknown');
      });
    });
    let stderrTail = '';
    child.stderr.on('data', (chunk: Buffer) => {
      stderrTail = (stderrTail + chunk.toString()).slice(-2000);
    });
    const ready = new Promise<Record<string, unknown>>((resolve, reject) => {
      createInterface({ input: child.stdout }).on('line', line => {
        if (!line.startsWith('{')) return;
        const message = JSON.parse(line) as Record<string, unknown>;
        if (readyField in message) resolve(message);
      });
      void exited.then(how => reject(new Error(`${script} ended with ${String(how)}: ${stderrTail}`)));
      setTimeout(
        () => reject(new Error(`${script} did not get ready: ${stderrTail}`)),
        START_TIMEOUT_MS,
      ).unref();
    });
    try {
      return new ManagedProcess(child, await ready, exited);
    } catch (error) {
      child.kill('SIGKILL');
      throw error;
    }
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Sends a signal to this process only. */
  signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.child.kill('SIGKILL');
    await this.exited;
  }
}
