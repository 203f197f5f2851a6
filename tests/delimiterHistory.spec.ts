import { DelimiterHistory } from '@cleatquay/calls';
import { expect } from 'chai';

const PROCESS = { service: 'receiving', start: 's1' };
const ROUTE = 'confirm';
/** More than are needed to trust a route. */
const MANY = 40;

describe('a response that only the end of its connection delimits', () => {
  let history: DelimiterHistory;

  const isSuspect = (status: number, route = ROUTE) => history.isSuspect(PROCESS, route, status, 'close');

  beforeEach(() => {
    history = new DelimiterHistory();
  });

  it('is believed of a service that has sent no other', () => {
    expect(isSuspect(200)).to.equal(false);
    expect(isSuspect(404)).to.equal(false);
  });

  // Guards against cut errors that look whole.
  for (const status of [200, 404, 500])
    it(`may be a part with status ${String(status)} if the service otherwise sends lengths`, () => {
      expect(history.isSuspect(PROCESS, ROUTE, 200, 'length')).to.equal(false);
      expect(isSuspect(status)).to.equal(true);
      expect(isSuspect(status, 'other')).to.equal(true);
    });

  // Guards against parts that look whole at a daemon which has received no other response of the service yet.
  describe('may be a part if the service has sent lengths', () => {
    it('to an earlier process of the daemon', () => {
      history.restore({ delimitingServices: ['receiving'], closeDelimitedRoutes: [] });
      expect(isSuspect(200)).to.equal(true);
      expect(history.evidence.delimitingServices).to.deep.equal(['receiving']);
    });

    it('to another daemon, for as long as that reports so', () => {
      history.setReported(['receiving']);
      expect(isSuspect(200)).to.equal(true);
      expect(history.evidence.delimitingServices).to.deep.equal([]);
      history.setReported([]);
      expect(isSuspect(200)).to.equal(false);
    });
  });

  it('leads to one report of a service that otherwise sends lengths', () => {
    const observed: (readonly string[])[] = [];
    history = new DelimiterHistory(() => void observed.push(history.evidence.delimitingServices));
    for (const delimiter of ['length', 'chunks', 'close'] as const)
      history.isSuspect(PROCESS, ROUTE, 200, delimiter);
    expect(observed).to.deep.equal([['receiving']]);
  });

  // Guards against whole responses that are refused again after each start of a daemon.
  describe('is believed on a route on which many in a row had neither length nor chunks', () => {
    const EXPORT = 'export';
    const NEXT = { service: 'receiving', start: 's2' };
    let reports: number;

    beforeEach(() => {
      reports = 0;
      history = new DelimiterHistory(() => void reports++);
      history.isSuspect(PROCESS, ROUTE, 200, 'length');
      for (let i = 0; i < MANY; i++) isSuspect(200, EXPORT);
    });

    const nextIsSuspect = (next: DelimiterHistory, route: string, status = 200) =>
      next.isSuspect(NEXT, route, status, 'close');

    it('by the daemon itself, which reports it once', () => {
      expect(isSuspect(200, EXPORT)).to.equal(false);
      expect(reports).to.equal(2);
    });

    it('by the next process of the daemon, there and for no other response', () => {
      const next = new DelimiterHistory();
      next.restore(history.evidence);
      expect(nextIsSuspect(next, EXPORT)).to.equal(false);
      expect(nextIsSuspect(next, EXPORT, 404)).to.equal(true);
      expect(nextIsSuspect(next, ROUTE)).to.equal(true);
      next.isSuspect(NEXT, EXPORT, 200, 'length');
      expect(nextIsSuspect(next, EXPORT)).to.equal(true);
      expect(next.evidence.closeDelimitedRoutes).to.deep.equal([]);
    });
  });

  // Guards against whole responses that are refused since the errors of a service have lengths.
  it('is believed if only errors had lengths', () => {
    history.isSuspect(PROCESS, ROUTE, 503, 'length');
    expect(isSuspect(200)).to.equal(false);
  });
});
