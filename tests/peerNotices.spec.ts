import { PeerNotices, replay } from '@cleatquay/calls';
import { type UpstreamNotice, refusalPart, createRefusal } from '@cleatquay/protocol';
import { expect } from 'chai';

const RATE_LIMIT_NOTICE: UpstreamNotice = {
  instanceId: 'a',
  born: 1,
  requestsPerSecond: 5,
  isLeaving: false,
};
const ADDRESS = '10.0.0.1:1';
const OTHER_ADDRESS = '10.0.0.2:1';
const RESPONSE = replay({ head: { status: 200, headers: '', unframed: false }, body: Buffer.alloc(0) });
const REFUSAL = refusalPart(createRefusal('draining', 'The upstream is shutting down.'), 0);

describe("the last notice of another daemon's local upstream", () => {
  let notices: PeerNotices;

  beforeEach(() => {
    notices = new PeerNotices();
    notices.record('history', ADDRESS, { ...RESPONSE, notice: RATE_LIMIT_NOTICE });
  });

  // Guards against a process that is taken for the one before it, since both have the same epoch.
  it('is sent only once the link to that daemon has ended, whichever process comes next', () => {
    expect(notices.noticeFor('history', ADDRESS)).to.equal(undefined);
    notices.linkEnded(OTHER_ADDRESS);
    expect(notices.noticeFor('history', ADDRESS)).to.equal(undefined);
    notices.linkEnded(ADDRESS);
    expect(notices.noticeFor('history', ADDRESS)).to.equal(RATE_LIMIT_NOTICE);
    expect(notices.noticeFor('alarms', ADDRESS)).to.equal(undefined);
    expect(notices.noticeFor('history', OTHER_ADDRESS)).to.equal(undefined);
  });

  it('is sent until that process reports a notice; a refusal alone does not count', () => {
    notices.linkEnded(ADDRESS);
    notices.record('history', ADDRESS, REFUSAL);
    expect(notices.noticeFor('history', ADDRESS)).to.equal(RATE_LIMIT_NOTICE);
    notices.record('history', ADDRESS, { ...REFUSAL, notice: RATE_LIMIT_NOTICE });
    expect(notices.noticeFor('history', ADDRESS)).to.equal(undefined);
  });

  it('is discarded on a response without a notice', () => {
    notices.record('history', ADDRESS, RESPONSE);
    notices.linkEnded(ADDRESS);
    expect(notices.noticeFor('history', ADDRESS)).to.equal(undefined);
  });

  it('is discarded when the daemon is removed permanently', () => {
    notices.forget(ADDRESS);
    notices.linkEnded(ADDRESS);
    expect(notices.noticeFor('history', ADDRESS)).to.equal(undefined);
  });
});
