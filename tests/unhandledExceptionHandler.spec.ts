import { ManualClock } from '@cleatquay/clock';
import { type DrainReason, ProcessStop, UnhandledExceptions } from '@cleatquay/daemon';
import { expect } from 'chai';
import { EventEmitter } from 'node:events';

const MAX_STOP_MS = 1000;
const FACTS = { inFlight: 3, running: 2, lagMs: 1 };

describe('UnhandledExceptions', () => {
  let clock: ManualClock;
  let source: EventEmitter;
  let output: EventEmitter;
  let lines: Record<string, unknown>[];
  let stops: number;
  let exits: number;
  let logFails: boolean;
  let exceptions: UnhandledExceptions;

  beforeEach(() => {
    clock = new ManualClock();
    [source, output] = [new EventEmitter(), new EventEmitter()];
    [lines, stops, exits, logFails] = [[], 0, 0, false];
    exceptions = new UnhandledExceptions({
      clock,
      facts: () => FACTS,
      log: (_message, facts) => {
        if (logFails) throw new Error('The log is closed.');
        lines.push(facts as Record<string, unknown>);
      },
      stop: () => void stops++,
      maxStopMs: MAX_STOP_MS,
      exit: () => void exits++,
    });
    exceptions.watch(source, [output]);
  });

  const report = (error: unknown, origin = 'uncaughtException') =>
    source.emit('uncaughtException', error, origin);

  it('logs an exception with the state of the process, and stops it', () => {
    const error = new Error('broken');
    report(error, 'unhandledRejection');
    expect(lines).to.deep.equal([
      { origin: 'unhandledRejection', error: 'broken', stack: error.stack, ...FACTS },
    ]);
    expect({ stops, exits }).to.deep.equal({ stops: 1, exits: 0 });
  });

  it('bounds the text of a line', () => {
    report(new Error('x'.repeat(1_000_000)));
    report('y'.repeat(1_000_000));
    expect(JSON.stringify(lines).length).to.be.below(20_000);
  });

  for (const value of [undefined, null, 'text', 7, { message: 'no error' }])
    it(`logs and stops when something else is thrown: ${JSON.stringify(value)}`, () => {
      report(value);
      expect(lines[0]).to.have.property('error', String(value));
      expect(stops).to.equal(1);
    });

  describe('during the stop', () => {
    it('neither stops again nor logs more than a few of many exceptions', () => {
      for (let i = 0; i < 50; i++) {
        report(new Error(String(i)));
        clock.advance(10);
      }
      expect(lines.length).to.equal(5);
      expect({ stops, exits }).to.deep.equal({ stops: 1, exits: 0 });
    });

    it('ends the process at the bound', () => {
      report(new Error('broken'));
      clock.advance(MAX_STOP_MS - 1);
      expect(exits).to.equal(0);
      clock.advance(1);
      expect(exits).to.equal(1);
    });

    it('counts the bound anew when it is extended', () => {
      exceptions.extend();
      report(new Error('broken'));
      clock.advance(MAX_STOP_MS - 1);
      exceptions.extend();
      report(new Error('again'));
      clock.advance(MAX_STOP_MS - 1);
      expect(exits).to.equal(0);
      clock.advance(1);
      expect(exits).to.equal(1);
    });
  });

  // Guards against an exception in the listener itself, which would end the process with requests in flight.
  it('stops though the log fails', () => {
    logFails = true;
    report(new Error('broken'));
    expect(stops).to.equal(1);
  });

  it('ignores failures of the output', () => {
    output.emit('error', new Error('EPIPE'));
    expect({ stops, exits, lines }).to.deep.equal({ stops: 0, exits: 0, lines: [] });
  });
});

describe('ProcessStop', () => {
  let reasons: DrainReason[];
  let ends: unknown[];
  let finish: () => void;
  let stop: ProcessStop;
  let extensions: number;

  beforeEach(() => {
    [reasons, ends, extensions] = [[], [], 0];
    const finished = new Promise<void>(resolve => (finish = resolve));
    stop = new ProcessStop({
      run: reason => {
        reasons.push(reason);
        return finished;
      },
      extend: () => void extensions++,
      exit: code => ends.push(code),
      fail: error => ends.push(error),
    });
  });

  const endsAfter = async (...begun: DrainReason[]) => {
    for (const reason of begun) stop.begin(reason);
    finish();
    await new Promise(setImmediate);
    return ends;
  };

  it('ends a process that was told to stop with code 0', async () => {
    expect(await endsAfter('planned', 'planned')).to.deep.equal([0]);
    expect(reasons).to.deep.equal(['planned']);
  });

  it('ends a process that has failed with code 1', async () => {
    expect(await endsAfter('failure')).to.deep.equal([1]);
  });

  it('continues a stop that has begun, and ends with code 0 if one was asked for', async () => {
    expect(await endsAfter('failure', 'planned')).to.deep.equal([0]);
    expect(reasons).to.deep.equal(['failure']);
  });

  // Guards against a stop that breaks requests off early because an exception came before the signal.
  it('begins its grace period with the first signal, also after a failure', async () => {
    await endsAfter('failure', 'failure');
    expect(extensions).to.equal(0);
    stop.begin('planned');
    stop.begin('planned');
    expect(extensions).to.equal(1);
  });

  it('reports that it could not close', async () => {
    const error = new Error('broken');
    const failing = new ProcessStop({
      run: () => Promise.reject(error),
      extend: () => undefined,
      exit: code => ends.push(code),
      fail: cause => ends.push(cause),
    });
    failing.begin('planned');
    expect(await endsAfter()).to.deep.equal([error]);
  });
});
