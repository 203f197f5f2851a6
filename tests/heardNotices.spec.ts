import { HeardNotices, replay } from '@cleatquay/calls';
import { type UpstreamNotice, endOf, refusalOf } from '@cleatquay/protocol';
import { type Candidate } from '@cleatquay/routing';
import { expect } from 'chai';

const LIMITED: UpstreamNotice = { instanceId: 'a', born: 1, requestsPerSecond: 5, isLeaving: false };
const OLD: Candidate = { address: '10.0.0.1:1', epoch: 1, failureDomain: 'z', slots: 1 };
const NEW: Candidate = { ...OLD, epoch: 2 };
const ANSWER = replay({ head: { status: 200, headers: '', unframed: false }, body: Buffer.alloc(0) });
const REFUSAL = endOf(refusalOf('otherEpoch', 'The daemon was restarted.'), 0);

describe('what was heard of an upstream beside another daemon', () => {
  let notices: HeardNotices;

  beforeEach(() => {
    notices = new HeardNotices();
    notices.heard('history', OLD, { ...ANSWER, notice: LIMITED });
  });

  it('is told to the next process there only', () => {
    expect(notices.toTell('history', OLD)).to.equal(undefined);
    expect(notices.toTell('history', NEW)).to.equal(LIMITED);
    expect(notices.toTell('alarms', NEW)).to.equal(undefined);
    expect(notices.toTell('history', { ...NEW, address: '10.0.0.2:1' })).to.equal(undefined);
  });

  it('is told until that one says something, not only refuses', () => {
    notices.heard('history', NEW, REFUSAL);
    expect(notices.toTell('history', NEW)).to.equal(LIMITED);
    notices.heard('history', NEW, { ...REFUSAL, notice: LIMITED });
    expect(notices.toTell('history', NEW)).to.equal(undefined);
  });

  it('ends with an answer of an upstream that has nothing to say', () => {
    notices.heard('history', OLD, ANSWER);
    expect(notices.toTell('history', NEW)).to.equal(undefined);
  });

  it('is dropped with a daemon that is gone for good', () => {
    notices.forget(OLD.address);
    expect(notices.toTell('history', NEW)).to.equal(undefined);
  });
});
