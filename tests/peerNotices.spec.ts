import { PeerNotices, replay } from '@cleatquay/calls';
import { type UpstreamNotice, refusalPart, createRefusal } from '@cleatquay/protocol';
import { type Candidate } from '@cleatquay/routing';
import { expect } from 'chai';

const RATE_LIMIT_NOTICE: UpstreamNotice = {
  instanceId: 'a',
  born: 1,
  requestsPerSecond: 5,
  isLeaving: false,
};
const BEFORE_RESTART: Candidate = { address: '10.0.0.1:1', epoch: 1, failureDomain: 'z', slots: 1 };
const AFTER_RESTART: Candidate = { ...BEFORE_RESTART, epoch: 2 };
const RESPONSE = replay({ head: { status: 200, headers: '', unframed: false }, body: Buffer.alloc(0) });
const REFUSAL = refusalPart(createRefusal('otherEpoch', 'The daemon was restarted.'), 0);

describe("the last notice of another daemon's local upstream", () => {
  let notices: PeerNotices;

  beforeEach(() => {
    notices = new PeerNotices();
    notices.record('history', BEFORE_RESTART, { ...RESPONSE, notice: RATE_LIMIT_NOTICE });
  });

  it('is sent only to a new process of that daemon', () => {
    expect(notices.noticeFor('history', BEFORE_RESTART)).to.equal(undefined);
    expect(notices.noticeFor('history', AFTER_RESTART)).to.equal(RATE_LIMIT_NOTICE);
    expect(notices.noticeFor('alarms', AFTER_RESTART)).to.equal(undefined);
    expect(notices.noticeFor('history', { ...AFTER_RESTART, address: '10.0.0.2:1' })).to.equal(undefined);
  });

  it('is sent until that process reports a notice; a refusal alone does not count', () => {
    notices.record('history', AFTER_RESTART, REFUSAL);
    expect(notices.noticeFor('history', AFTER_RESTART)).to.equal(RATE_LIMIT_NOTICE);
    notices.record('history', AFTER_RESTART, { ...REFUSAL, notice: RATE_LIMIT_NOTICE });
    expect(notices.noticeFor('history', AFTER_RESTART)).to.equal(undefined);
  });

  it('is discarded on a response without a notice', () => {
    notices.record('history', BEFORE_RESTART, RESPONSE);
    expect(notices.noticeFor('history', AFTER_RESTART)).to.equal(undefined);
  });

  it('is discarded when the daemon is removed permanently', () => {
    notices.forget(BEFORE_RESTART.address);
    expect(notices.noticeFor('history', AFTER_RESTART)).to.equal(undefined);
  });
});
