/** Case 2: an answer without a length that is reset on its way reaches the client as a complete one. */
import { Buffer } from 'node:buffer';
import { connect } from 'node:net';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { runCase } from '../lib/deployment.mjs';

/** 6 backends, two of which are faulty: a share of 0.33, below the 0.35 of `garble`. */
const ZONES = ['regina-a', 'regina-a', 'moose-b', 'moose-b', 'swift-c', 'swift-c'];
const FAULTY = ['exports-0', 'exports-2'];
/** The VMs of the zones of these two, whose callers the script plays. */
const CALLED = 4;
/** Of their answers, at most this part breaks off (x of `garble`), for so long. */
const BROKEN_RATIO = 0.02;
const DISTURBED_MS = 5500;
const END_MS = 7000;
const BODY_BYTES = Number(process.env.BODY_BYTES ?? 160_000);
/** Clients that send at the same time. The case has one; more of them show a further fault (review/REPORT.md). */
const CLIENTS = Number(process.env.CLIENTS ?? 1);
/** Whether answers have a length and `Connection: close`, as those of a leaving backend. The case has answers without a length. */
const HAS_LENGTH = process.env.HAS_LENGTH === '1';

/** Sends one request on a connection of its own; resolves with what was received, and how the connection ended. */
function download(address, id) {
  const [host, port] = address.split(':');
  return new Promise(done => {
    const chunks = [];
    let failure;
    const socket = connect({ host, port: Number(port) });
    socket.on('data', chunk => chunks.push(chunk));
    socket.on('error', error => (failure = error.code));
    socket.on('close', () => {
      const bytes = Buffer.concat(chunks);
      const headEnd = bytes.indexOf('\r\n\r\n');
      const head = bytes.subarray(0, Math.max(0, headEnd)).toString('latin1');
      done({ head, bodyBytes: headEnd < 0 ? 0 : bytes.length - headEnd - 4, failure });
    });
    const lines = ['GET /log HTTP/1.1', 'Host: exports.example', `Request-Id: ${id}`, 'Deadline-Ms: 5000'];
    if (HAS_LENGTH) lines.push('Connection: close');
    socket.write(`${lines.join('\r\n')}\r\n\r\n`);
  });
}

await runCase(import.meta.dirname, process.env.TROUBLE !== '0', async (deployment, isDisturbed) => {
  const body = Buffer.alloc(BODY_BYTES, 'x');
  const counts = { answers: 0, broken: 0 };
  let disturbedUntil = 0;

  const length = HAS_LENGTH ? `Content-Length: ${String(BODY_BYTES)}\r\n` : '';
  /** All answers of this service have no length: they end with their connection. */
  const serve = async (call, response, backend) => {
    const id = String(call.headers['request-id']);
    const { socket } = call;
    deployment.record(`${backend.instanceId} runs ${id}`);
    socket.write(
      `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Stamp: ${backend.instanceId}.${id}\r\n${length}Connection: close\r\n\r\n`,
    );
    const isFaulty = FAULTY.includes(backend.instanceId);
    if (isFaulty) counts.answers++;
    const mayBreak = isDisturbed && isFaulty && performance.now() < disturbedUntil;
    if (!mayBreak || counts.broken + 1 > counts.answers * BROKEN_RATIO) return void socket.end(body);
    counts.broken++;
    deployment.record(`${backend.instanceId} sends half of its answer to ${id}, and resets the connection`);
    socket.write(body.subarray(0, BODY_BYTES / 2));
    // By then a busy machine has passed the first half on.
    await sleep(300);
    socket.resetAndDestroy();
  };

  const route = { pathPrefix: '/', timeoutS: 5, targetLatencyS: 1, maxAttempts: 2, priority: 0 };
  deployment.configure(1, [
    { ...route, name: 'log-export', host: 'exports.example', kind: 'download', service: 'exports' },
  ]);
  await deployment.start(
    ZONES.map((zone, vm) => ({ service: 'exports', zone, instanceId: `exports-${String(vm)}`, serve })),
  );

  const startedAt = performance.now();
  disturbedUntil = startedAt + DISTURBED_MS;
  const violations = [];
  let requests = 0;
  const runClient = async () => {
    while (performance.now() < startedAt + END_MS) {
      const id = `r${String(requests++)}`;
      const { callers } = deployment.daemons[requests % CALLED];
      const { head, bodyBytes, failure } = await download(callers, id);
      const [statusLine] = head.split('\r\n');
      const hasLength = /^(content-length|transfer-encoding):/im.test(head);
      const end = failure === undefined ? 'closed without an error' : `failed with ${failure}`;
      const length = hasLength ? 'with' : 'without';
      deployment.record(
        `client: ${id}: ${statusLine}, ${length} a length, ${String(bodyBytes)} bytes, ${end}`,
      );
      const looksComplete = statusLine.startsWith('HTTP/1.1 200') && !hasLength && failure === undefined;
      if (looksComplete && bodyBytes < BODY_BYTES)
        violations.push(
          `MIXED: ${id} got ${String(bodyBytes)} of ${String(BODY_BYTES)} bytes as a complete answer`,
        );
    }
  };
  await Promise.all(Array.from({ length: CLIENTS }, runClient));
  deployment.record(`faulty backends: ${JSON.stringify(counts)}; requests: ${String(requests)}`);
  return violations;
});
