import { expect } from 'chai';
import { setTimeout as sleep } from 'node:timers/promises';
import { routeTo } from './fixtures/platformFleet.js';
import { ProcessFleet, type ProcessNode } from './fixtures/platformProcesses.js';
import { type UploadRequest, upload } from './fixtures/uploadingCaller.js';

const MEGABYTE = 1_048_576;
const MAX_RESIDENT_BYTES = 128 * MEGABYTE;
const NOT_RUN_STATUSES = [408, 421, 429, 503];

describe('uploads through daemons that are processes', () => {
  let fleet: ProcessFleet;
  let ingress: ProcessNode;
  let sheets: ProcessNode[];
  let requests = 0;

  before(function () {
    this.timeout(120_000);
    ProcessFleet.build();
  });

  beforeEach(async function () {
    this.timeout(120_000);
    fleet = await ProcessFleet.start(
      ['history', 'sheets', 'sheets'].map((service, i) => ({ service, failureDomain: `z${String(i)}` })),
      [routeTo('history'), routeTo('sheets', { kind: 'upload', timeoutS: 8 })],
      { asDeployed: true },
    );
    [ingress, ...sheets] = fleet.nodes as [ProcessNode, ProcessNode, ProcessNode];
    await fleet.waitForLowLag();
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  const send = (change: Partial<UploadRequest> = {}) => {
    const id = `p${String(++requests)}`;
    return {
      id,
      result: upload(ingress.callerAddress, { id, host: 'sheets.example', bytes: 3 * MEGABYTE, ...change }),
    };
  };
  const received = (id: string) =>
    sheets.flatMap(({ upstream }) => upstream.receivedRequests).filter(({ requestId }) => requestId === id);
  /** Their daemons know the new number of slots once they have announced it. */
  const readSlowly = async (bodyReadMs: number) => {
    for (const { upstream } of sheets) {
      Object.assign(upstream.behaviour, { bodyReadMs, slots: 60 });
      await upstream.announce();
    }
  };
  /** The upload's upstream, once it has read some of the body. */
  const nodeReading = async (id: string): Promise<ProcessNode> => {
    for (;;) {
      const node = sheets.find(({ upstream }) =>
        upstream.receivedRequests.some(({ requestId, bodyBytes }) => requestId === id && bodyBytes > 0),
      );
      if (node) return node;
      await sleep(5);
    }
  };

  it('run at most once, and are not reported as not run, when the daemon of their upstream is killed in mid-body', async () => {
    await readSlowly(20);
    const uploads = Array.from({ length: 10 }, () => send());
    const node = await nodeReading(uploads[0]!.id);
    await node.kill();
    for (const { id, result } of uploads) {
      const { status } = await result;
      const runs = received(id);
      expect(runs.filter(({ ran }) => ran)).to.have.lengthOf.at.most(1);
      if (runs.length > 0) expect(NOT_RUN_STATUSES).to.not.include(status);
      // A body that has lost its daemon is never run as if it were complete.
      for (const { ended, bodyBytes } of runs) expect(ended).to.equal(bodyBytes === 3 * MEGABYTE);
    }
  });

  // Guards against uploads that fail although none of their bytes were sent: they used to wait for a daemon that no longer responds.
  it('are sent to another upstream, and run once, when the daemon of theirs stops before it has taken any of their bodies', async () => {
    await Promise.all(Array.from({ length: 10 }, () => send({ bytes: 1000 }).result));
    sheets[0]!.signal('SIGSTOP');
    const uploads = Array.from({ length: 10 }, () => send({ bytes: 200_000 }));
    const results = await Promise.all(uploads.map(({ result }) => result));
    sheets[0]!.signal('SIGCONT');
    await sleep(500);
    expect(results.map(({ status }) => status)).to.deep.equal(Array(10).fill(200));
    for (const { id } of uploads) expect(received(id).map(({ ended }) => ended)).to.deep.equal([true]);
  });

  it('end within the grace period of a daemon that shuts down', async () => {
    await readSlowly(30);
    const { id, result } = send();
    (await nodeReading(id)).signal('SIGTERM');
    expect((await result).status).to.equal(200);
    expect(received(id).map(({ ended }) => ended)).to.deep.equal([true]);
  });

  it('leave every daemon below 128 MB, fifty at once of 3 MB each with slow upstreams', async function () {
    this.timeout(120_000);
    await readSlowly(100);
    let residentAtMost = 0;
    let heldAtMost = 0;
    const uploads = Array.from({ length: 50 }, () => send().result);
    let isDone = false;
    const done = Promise.all(uploads).finally(() => (isDone = true));
    while (!isDone) {
      for (const node of fleet.nodes) {
        residentAtMost = Math.max(residentAtMost, await node.gauge('process_resident_memory_bytes'));
        heldAtMost = Math.max(heldAtMost, await node.gauge('cleatquay_upload_bytes'));
      }
      await sleep(50);
    }
    const others = (await done).filter(({ status }) => status !== 200);
    expect(others.map(({ text, tookMs }) => `${String(Math.round(tookMs))} ms: ${text}`)).to.deep.equal([]);
    expect(residentAtMost).to.be.below(MAX_RESIDENT_BYTES);
    expect(heldAtMost).to.be.within(1, 16 * MEGABYTE);
  });
});
