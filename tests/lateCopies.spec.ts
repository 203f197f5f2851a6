import { type UpstreamFault } from '@cleatquay/standins';
import { expect } from 'chai';
import { PlatformFleet, routeTo } from './fixtures/platformFleet.js';

const NOT_RUN_STATUSES = [408, 421, 429, 503];
const REQUESTS = 4;

describe('an upstream that refuses a request and sends the refusal a second time, late', () => {
  let fleet: PlatformFleet;

  beforeEach(async () => {
    fleet = await PlatformFleet.start(
      [{ service: 'receiving' }],
      [
        routeTo('receiving', {
          name: 'submit',
          host: 'submit.example',
          kind: 'non_idempotent',
          maxAttempts: 1,
        }),
      ],
    );
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  const injectOnce = (fault: UpstreamFault, hasFault: (id: string) => boolean) => {
    const faulted = new Set<string>();
    fleet.nodes[0]!.upstream.behaviour.fault = id => {
      if (faulted.has(id) || !hasFault(id)) return 'none';
      faulted.add(id);
      return fault;
    };
  };
  const submit = (id: string) => fleet.send(0, { id, host: 'submit.example', method: 'POST', body: '{}' });

  for (const fault of ['shed-twice', 'shed-twice-without-id'] as const) {
    // Guards against a second run: the copy is taken for the response to the next send of the request.
    it(`runs the request once, and its caller gets that response ("${fault}")`, async () => {
      injectOnce(fault, () => true);
      const { status } = await submit('a');
      expect(fleet.runs('a')).to.equal(1);
      expect(status).to.equal(200);
    });

    // Guards against a refusal of one request that is taken for that of the next one on the connection.
    it(`refuses no other request by the copy ("${fault}")`, async () => {
      injectOnce(fault, id => id.startsWith('refused'));
      for (let i = 0; i < REQUESTS; i++) {
        for (const id of [`refused-${String(i)}`, `next-${String(i)}`]) {
          const { status } = await submit(id);
          expect(fleet.runs(id), id).to.be.at.most(1);
          if (NOT_RUN_STATUSES.includes(status)) expect(fleet.runs(id), id).to.equal(0);
        }
      }
    });
  }
});
