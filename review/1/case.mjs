/** Case 1: the second copy of a rejection is taken for the rejection of the next send of the same request. */
import { request } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { runCase } from '../lib/deployment.mjs';

/** 8 VMs, so that one backend is a share of 0.125: below the 0.14 of `srv_grey`, and below the 0.6 of `garble`. */
const SERVICES = ['receiving', 'receiving', ...Array(6).fill('history')];
const FAULTY = 'receiving-0';
const DISTURBED_MS = 5000;
/** The faulty backend rejects one request in 5 (x is 0.45 at most). */
const REJECTED_EVERY = 5;
/** Of its answers, at most this part is sent a second time (x of `garble` with `extra late`). */
const SENT_TWICE_RATIO = 0.03;
const CLIENTS_MS = 7000;
const PROMISES = [408, 421, 429, 503];

await runCase(import.meta.dirname, process.env.TROUBLE !== '0', async (deployment, isDisturbed) => {
  const runs = new Map();
  const answers = new Map();
  const counts = { requests: 0, answers: 0, rejected: 0, sentTwice: 0 };
  /** The second copy of an answer that a connection still owes, to be sent where the next answer is expected. */
  const owed = new WeakMap();
  let disturbedUntil = Number.POSITIVE_INFINITY;

  const answerOf = (id, backend, status, extra) => ({
    status,
    headers: {
      'Request-Id': id,
      'Server-Stamp': `${backend.instanceId}.${id}`,
      'Content-Length': '2',
      ...extra,
    },
  });
  const textOf = ({ status, headers }) =>
    `HTTP/1.1 ${String(status)} X\r\n${Object.entries(headers)
      .map(([name, value]) => `${name}: ${value}\r\n`)
      .join('')}\r\nno`;

  const serve = async (call, response, backend) => {
    const id = String(call.headers['request-id']);
    for await (const chunk of call) void chunk;
    const copy = owed.get(call.socket);
    if (copy) {
      owed.delete(call.socket);
      counts.sentTwice++;
      deployment.record(
        `${backend.instanceId} sends its answer to ${copy.id} a second time, where that to ${id} is due`,
      );
      call.socket.write(copy.text);
    }
    const isFaulty = isDisturbed && backend.instanceId === FAULTY && performance.now() < disturbedUntil;
    if (backend.instanceId === FAULTY) counts.answers++;
    if (isFaulty && ++counts.requests % REJECTED_EVERY === 0) {
      const rejection = answerOf(id, backend, 503, { 'Not-Executed': '1' });
      counts.rejected++;
      deployment.record(`${backend.instanceId} rejects ${id}: 503, Not-Executed`);
      if (counts.sentTwice + 1 <= counts.answers * SENT_TWICE_RATIO)
        owed.set(call.socket, { id, text: textOf(rejection) });
      response.writeHead(rejection.status, rejection.headers);
      return void response.end('no');
    }
    runs.set(id, (runs.get(id) ?? 0) + 1);
    deployment.record(
      `${backend.instanceId} runs ${id}${runs.get(id) > 1 ? ` AGAIN (${String(runs.get(id))} times now)` : ''}`,
    );
    await sleep(5);
    const { status, headers } = answerOf(id, backend, 200, {});
    response.writeHead(status, headers);
    response.end('ok');
  };

  const route = { pathPrefix: '/', timeoutS: 5, targetLatencyS: 1.5, maxAttempts: 1 };
  deployment.configure(1, [
    {
      ...route,
      name: 'receipt-confirm',
      host: 'confirm.example',
      kind: 'non_idempotent',
      service: 'receiving',
      priority: 0,
    },
    {
      ...route,
      name: 'load-history',
      host: 'history.example',
      kind: 'idempotent',
      service: 'history',
      priority: 1,
    },
  ]);
  const instanceIds = SERVICES.map((service, index) => `${service}-${String(index)}`);
  await deployment.start(
    SERVICES.map((service, index) => ({ service, instanceId: instanceIds[index], serve })),
  );

  const send = (daemon, id) =>
    new Promise(done => {
      const headers = {
        host: 'confirm.example',
        'Request-Id': id,
        'Deadline-Ms': '5000',
        'content-length': '2',
      };
      const options = { method: 'POST', agent: false, headers };
      const call = request(`http://${daemon.callers}/confirm`, options, response => {
        response.resume();
        response.on('close', () => {
          answers.set(id, response.statusCode);
          deployment.record(`client: ${id} is answered ${String(response.statusCode)}`);
          done();
        });
      });
      call.on('error', error => {
        deployment.record(`client: ${id} failed: ${String(error)}`);
        done();
      });
      deployment.record(`client: sends ${id}`);
      call.end('{}');
    });
  const startedAt = performance.now();
  disturbedUntil = startedAt + DISTURBED_MS;
  for (let i = 0; performance.now() < startedAt + CLIENTS_MS; i++)
    await send(deployment.daemons[i % SERVICES.length], `r${String(i)}`);
  await sleep(500);

  deployment.record(`of ${FAULTY}: ${JSON.stringify(counts)}; requests: ${String(answers.size)}`);
  const violations = [];
  for (const [id, count] of runs) {
    if (count > 1) violations.push(`TWICE: ${id} ran ${String(count)} times`);
    if (PROMISES.includes(answers.get(id)))
      violations.push(`REFUSED: ${id} ran and was answered ${String(answers.get(id))}`);
  }
  return violations;
});
