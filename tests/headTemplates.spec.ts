import {
  EMPTY_ITEM,
  MAX_TEMPLATES,
  NO_HEAD,
  HeadDecoder,
  HeadEncoder,
  type EncodedHead,
} from '@cleatquay/calls';
import { LinkFrame, type RequestHead } from '@cleatquay/protocol';
import { expect } from 'chai';
import fc from 'fast-check';
import { CALL_CONTEXT } from './fixtures/callContext.js';

const HEAD: RequestHead = {
  service: 'history',
  method: 'GET',
  path: '/leny950/2f',
  headers: 'Host\nhulo84.example\n',
  fingerprint: '',
  endedStarts: [],
  notice: undefined,
  context: {
    ...CALL_CONTEXT,
    requestId: '9c41d07be2a35f68.0.3',
    rootId: '9c41d07be2a35f68',
    route: 'r-leny950',
    originService: 'receiving',
    targetEpoch: 1.7e12,
  },
};

/** Bytes of a frame with one request of such a head. */
function bytesOf(travelling: EncodedHead): number {
  const request = { ...travelling, body: Buffer.alloc(0), last: true };
  return LinkFrame.encode({ items: [{ ...EMPTY_ITEM, call: 1, request }], sentAt: 0 }).finish().length;
}

describe('heads on a link', () => {
  const text = fc.constantFrom('', 'a', 'b', 'history');
  const heads = fc.array(
    fc.record({
      service: text,
      method: fc.constantFrom('GET', 'POST'),
      path: fc.constantFrom('/', '/x'),
      headers: fc.constantFrom('', 'Host\na\n', 'Host\nb\n'),
      fingerprint: fc.constantFrom('', '0123456789abcdef'),
      endedStarts: fc.array(fc.constantFrom('a@1', 'b@1'), { maxLength: 2 }),
      notice: fc.constantFrom(undefined, { instanceId: 'a', born: 1, requestsPerSecond: 0, isLeaving: true }),
      context: fc.record({
        ...Object.fromEntries(
          Object.entries(CALL_CONTEXT).map(([name, value]) => [name, fc.constant(value)]),
        ),
        requestId: fc.constantFrom('r', 'r.1', 'q.r'),
        rootId: fc.constantFrom('r', 'q', ''),
        route: text,
        idempotent: fc.boolean(),
        originService: text,
        targetEpoch: fc.constantFrom(0, 7),
        toHome: fc.boolean(),
      }),
    }),
    { maxLength: 40 },
  ) as fc.Arbitrary<RequestHead[]>;

  it('arrive as they were sent, whatever they have in common', () => {
    fc.assert(
      fc.property(heads, sent => {
        const [from, to] = [new HeadEncoder(), new HeadDecoder()];
        expect(sent.map(head => to.decode(from.encode(head)))).to.deep.equal(sent);
      }),
    );
  });

  it('arrive as they were sent when there are more kinds than are kept', () => {
    const [from, to] = [new HeadEncoder(), new HeadDecoder()];
    for (let i = 0; i < MAX_TEMPLATES + 50; i++) {
      const head = { ...HEAD, headers: `Host\n${String(i)}\n` };
      expect(to.decode(from.encode(head))).to.deep.equal(head);
    }
  });

  it('are refused when they name a template that was never defined, or is defined out of turn', () => {
    const from = new HeadEncoder();
    const first = from.encode(HEAD);
    const second = from.encode({ ...HEAD, method: 'POST' });
    expect(new HeadDecoder().decode({ ...first, definition: undefined })).to.equal(undefined);
    expect(new HeadDecoder().decode(second)).to.equal(undefined);
  });

  it('take less than half of the bytes from the second of a kind on: 60 in place of 146', () => {
    const from = new HeadEncoder();
    from.encode(HEAD);
    const whole = bytesOf({ ...NO_HEAD, head: HEAD });
    expect(bytesOf(from.encode(HEAD))).to.be.below(whole / 2);
  });
});
