import { PeerNotices, replay } from '@cleatquay/calls';
import { type UpstreamNotice, refusalPart, createRefusal } from '@cleatquay/protocol';
import { type Candidate } from '@cleatquay/routing';
import { expect } from 'chai';

const LIMITED: UpstreamNotice = { instanceId: 'a', born: 1, requestsPerSecond: 5, isLeaving: false };
const OLD: Candidate = { address: '10.0.0.1:1', epoch: 1, failureDomain: 'z', slots: 1 };
const NEW: Candidate = { ...OLD, epoch: 2 };
const ANSWER = replay({ head: { status: 200, headers: '', unframed: false }, body: Buffer.alloc(0) });
const REFUSAL = refusalPart(createRefusal('otherEpoch', 'The daemon was restarted.'), 0);

describe("the last notice of another daemon's local upstream", () => {
  let notices: PeerNotices;

  beforeEach(() => {
    notices = new PeerNotices();
    notices.record('history', OLD, { ...ANSWER, notice: LIMITED });
  });

  it('is sent only to a new process of that daemon', () => {
    expect(notices.noticeFor('history', OLD)).to.equal(undefined);
    expect(notices.noticeFor('history', NEW)).to.equal(LIMITED);
    expect(notices.noticeFor('alarms', NEW)).to.equal(undefined);
    expect(notices.noticeFor('history', { ...NEW, address: '10.0.0.2:1' })).to.equal(undefined);
  });

  it('is sent until that process reports a notice; a refusal alone does not count', () => {
    notices.record('history', NEW, REFUSAL);
    expect(notices.noticeFor('history', NEW)).to.equal(LIMITED);
    notices.record('history', NEW, { ...REFUSAL, notice: LIMITED });
    expect(notices.noticeFor('history', NEW)).to.equal(undefined);
  });

  it('is discarded on a response without a notice', () => {
    notices.record('history', OLD, ANSWER);
    expect(notices.noticeFor('history', NEW)).to.equal(undefined);
  });

  it('is discarded when the daemon is removed permanently', () => {
    notices.forget(OLD.address);
    expect(notices.noticeFor('history', NEW)).to.equal(undefined);
  });
});
