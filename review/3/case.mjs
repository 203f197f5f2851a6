/** Case 3: after a long request was refused, since its service had no backend, the client's connection to the daemon is never read again. */
import { Buffer } from 'node:buffer';
import { connect } from 'node:net';
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { runCase } from '../lib/deployment.mjs';

/** Both backends of `receiving` stand in one zone; those of `alarms` in the two others. */
const VMS = [
  { service: 'receiving', zone: 'regina-a' },
  { service: 'receiving', zone: 'regina-a' },
  { service: 'alarms', zone: 'moose-b' },
  { service: 'alarms', zone: 'moose-b' },
  { service: 'alarms', zone: 'swift-c' },
  { service: 'alarms', zone: 'swift-c' },
];
const CLIENTS_PER_VM = 4;
/** A long receipt, far below maxBodyBytes; the sockets' buffers hold all of it. */
const LONG_BODY_BYTES = 300_000;
const TIMEOUT_S = 3;
const DEADLINE_MS = 5000;
/** A request counts as unanswered if it has no final answer so long after the route's timeout. */
const SLACK_MS = 500;
/** When the backends of `receiving` crash (`srv_crash`, `domain`), and for how long they are down. */
const CRASH_AT_MS = 2000;
const DOWN_MS = 4000;
const PAUSE_MS = 150;
const END_MS = 10_000;

/** A client's connection to the daemon beside it. */
class Connection {
  constructor(address) {
    const [host, port] = address.split(':');
    this.received = '';
    this.isClosed = false;
    this.wake = () => undefined;
    this.socket = connect({ host, port: Number(port) });
    this.socket.on('data', chunk => {
      this.received += chunk.toString('latin1');
      this.wake();
    });
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => {
      this.isClosed = true;
      this.wake();
    });
  }

  send(host, id, bytes) {
    const head = [
      'POST /x HTTP/1.1',
      `Host: ${host}`,
      `Request-Id: ${id}`,
      `Deadline-Ms: ${String(DEADLINE_MS)}`,
    ];
    this.socket.write(`${[...head, `Content-Length: ${String(bytes)}`].join('\r\n')}\r\n\r\n`);
    this.socket.write(Buffer.alloc(bytes, 'x'));
  }

  /** Status of the next answer and whether the connection is kept; 'none' after `ms`, 'closed' if the connection ended without one. */
  async answer(ms) {
    const end = performance.now() + ms;
    const timer = setInterval(() => this.wake(), 50);
    try {
      for (;;) {
        const headEnd = this.received.indexOf('\r\n\r\n');
        const head = this.received.slice(0, Math.max(0, headEnd));
        const length = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0);
        if (headEnd >= 0 && this.received.length >= headEnd + 4 + length) {
          this.received = this.received.slice(headEnd + 4 + length);
          return { status: Number(head.slice(9, 12)), isKept: !/^connection: close/im.test(head) };
        }
        if (this.isClosed) return { status: 'closed', isKept: false };
        if (performance.now() > end) return { status: 'none', isKept: false };
        await new Promise(resolve => (this.wake = resolve));
      }
    } finally {
      clearInterval(timer);
    }
  }
}

await runCase(import.meta.dirname, process.env.TROUBLE !== '0', async (deployment, isDisturbed) => {
  const arrived = new Set();
  const serve = async (call, response, backend) => {
    const id = String(call.headers['request-id']);
    for await (const chunk of call) void chunk;
    arrived.add(id);
    deployment.record(`${backend.instanceId} runs ${id}`);
    await sleep(20);
    response.writeHead(200, {
      'Request-Id': id,
      'Server-Stamp': `${backend.instanceId}.${id}`,
      'Content-Length': '2',
    });
    response.end('ok');
  };
  const route = { pathPrefix: '/', timeoutS: TIMEOUT_S, maxAttempts: 2, kind: 'non_idempotent' };
  deployment.configure(1, [
    {
      ...route,
      name: 'receipt-confirm',
      host: 'confirm.example',
      service: 'receiving',
      targetLatencyS: 1.5,
      priority: 0,
    },
    {
      ...route,
      name: 'alarm-ack',
      host: 'alarms.example',
      service: 'alarms',
      targetLatencyS: 0.25,
      priority: 2,
    },
  ]);
  await deployment.start(
    VMS.map((vm, index) => ({ ...vm, instanceId: `${vm.service}-${String(index)}`, slots: 50, serve })),
  );

  const startedAt = performance.now();
  const crash = async backend => {
    await sleep(CRASH_AT_MS);
    deployment.record(`${backend.instanceId} crashes`);
    await backend.crash(DOWN_MS);
    deployment.record(`${backend.instanceId} has started`);
  };
  const crashing = deployment.backends.filter(({ service }) => isDisturbed && service === 'receiving');

  const late = [];
  let answered = 0;
  const runClient = async (daemon, name) => {
    let connection = new Connection(daemon.callers);
    for (let i = 0; performance.now() < startedAt + END_MS; i++) {
      const id = `${name}-${String(i)}`;
      const isLong = i % 2 === 0;
      const bytes = isLong ? LONG_BODY_BYTES : 2;
      connection.send(isLong ? 'confirm.example' : 'alarms.example', id, bytes);
      deployment.record(
        `client ${name}: sends ${id} with ${String(bytes)} bytes to ${isLong ? 'receiving' : 'alarms'}`,
      );
      const { status, isKept } = await connection.answer(TIMEOUT_S * 1000 + SLACK_MS);
      deployment.record(
        `client ${name}: ${id} is answered ${String(status)}${isKept ? ', connection kept' : ''}`,
      );
      if (status === 'none') late.push(id);
      else answered++;
      if (!isKept) {
        connection.socket.destroy();
        connection = new Connection(daemon.callers);
      }
      await sleep(PAUSE_MS);
    }
    connection.socket.destroy();
  };
  const clients = deployment.daemons.flatMap((daemon, vm) =>
    Array.from({ length: CLIENTS_PER_VM }, (_, i) => runClient(daemon, `vm${String(vm)}-${String(i)}`)),
  );
  await Promise.all([...clients, ...crashing.map(crash)]);
  const reached = late.filter(id => arrived.has(id)).length;
  deployment.record(
    `answered: ${String(answered)}; without an answer ${String(SLACK_MS)} ms after the timeout: ${String(late.length)}, ` +
      `of which ${String(reached)} reached a backend`,
  );
  return late.length >= 8
    ? late.map(id => `CONFIG: ${id} has no answer ${String(SLACK_MS)} ms after the timeout of its route`)
    : [];
});
