/** Child processes that report readiness with a line of JSON and never outlive this process. */
import { type ChildProcess, spawn } from 'node:child_process';
import { createInterface } from 'node:readline';

const START_TIMEOUT_MS = 30_000;
const MAX_HEAP_MB = 512;
const SIGTERM_EXIT_CODE = 143;

/** Running children, killed when this process exits or receives SIGTERM or SIGHUP. */
const runningChildren = new Set<ChildProcess>();
process.once('exit', () => runningChildren.forEach(child => child.kill('SIGKILL')));
for (const signal of ['SIGTERM', 'SIGHUP'] as const)
  process.once(signal, () => process.exit(SIGTERM_EXIT_CODE));

/** One child process; disposing kills it. */
export class ManagedProcess implements AsyncDisposable {
  private constructor(
    private readonly child: ChildProcess,
    /** The first JSON line of its output that has the field that signals readiness. */
    readonly ready: Record<string, unknown>,
    /** Resolves with the exit code or the name of the signal that ended it. */
    readonly exited: Promise<number | string>,
  ) {}

  /** Starts a Node.js script and waits until it prints a JSON line with the field `readyField`. */
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
      void exited.then(exit =>
        reject(new Error(`${script} exited before it was ready (${String(exit)}): ${stderrTail}`)),
      );
      setTimeout(
        () => reject(new Error(`${script} was not ready in time: ${stderrTail}`)),
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

  /** Sends a signal to this process only, not to its process group. */
  signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.child.kill('SIGKILL');
    await this.exited;
  }
}
