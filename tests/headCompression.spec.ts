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

/** Size of a frame with one request that has this head. */
function frameBytes(encodedHead: EncodedHead): number {
  const request = { ...encodedHead, body: Buffer.alloc(0), last: true };
  return LinkFrame.encode({ items: [{ ...EMPTY_ITEM, call: 1, request }], sentAt: 0 }).finish().length;
}

describe('header compression on a link', () => {
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

  it('restores any sequence of heads', () => {
    fc.assert(
      fc.property(heads, sent => {
        const [encoder, decoder] = [new HeadEncoder(), new HeadDecoder()];
        expect(sent.map(head => decoder.decode(encoder.encode(head)))).to.deep.equal(sent);
      }),
    );
  });

  it('restores heads beyond the limit of templates', () => {
    const [encoder, decoder] = [new HeadEncoder(), new HeadDecoder()];
    for (let i = 0; i < MAX_TEMPLATES + 50; i++) {
      const head = { ...HEAD, headers: `Host\n${String(i)}\n` };
      expect(decoder.decode(encoder.encode(head))).to.deep.equal(head);
    }
  });

  it('rejects heads whose template was never defined, or is defined out of order', () => {
    const encoder = new HeadEncoder();
    const first = encoder.encode(HEAD);
    const second = encoder.encode({ ...HEAD, method: 'POST' });
    expect(new HeadDecoder().decode({ ...first, definition: undefined })).to.equal(undefined);
    expect(new HeadDecoder().decode(second)).to.equal(undefined);
  });

  it('saves more than half of the bytes from the second use of a template on: 60 instead of 146', () => {
    const encoder = new HeadEncoder();
    encoder.encode(HEAD);
    const uncompressed = frameBytes({ ...NO_HEAD, head: HEAD });
    expect(frameBytes(encoder.encode(HEAD))).to.be.below(uncompressed / 2);
  });
});
