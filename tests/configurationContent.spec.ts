/**
 * Guards against daemons with different content under one generation, which refuse requests on declared routes or serve removed ones:
 *
 * 1. A daemon missed a version in which a route had changed, and read the next one, which reverted it: it never saw the route change.
 * 2. A peer at the version in between requested the changes since then, and its response lacked the route.
 * 3. The peer applied the rest to its own content, under the newest generation. Without a higher generation nothing repaired it, and further
 *    peers fetched it. The response of a daemon that had started after a route was removed lacked the removal in the same way.
 *
 * Cause: a difference was computed from the generation of the requesting daemon, and from when the responding one had seen a section change,
 * although two daemons can reach a generation through different versions. With that code 297 of 2,000 such histories of 40 steps had a daemon
 * whose content was not that of its generation. On a simulated day one daemon had other content than 13 daemons of the same generation, with
 * six changes instead of seven: it had fetched them from a daemon that had started half a second before, and ran requests by the older
 * version until its restart 13 s later.
 */
import { ManualClock } from '@cleatquay/clock';
import { Configuration, type Sections } from '@cleatquay/configuration';
import { expect } from 'chai';
import fc from 'fast-check';

const DAEMONS = 4;
const HISTORIES = 500;
const MAX_STEPS = 40;

/** One event: the operator writes a version; a daemon reads the newest, restarts, or fetches the version of a peer. */
type Step =
  | { readonly kind: 'write'; readonly routes: readonly (string | undefined)[] }
  | { readonly kind: 'read'; readonly at: number }
  | { readonly kind: 'restart'; readonly at: number }
  | { readonly kind: 'fetch'; readonly at: number; readonly from: number };

const daemon = fc.nat(DAEMONS - 1);
const routes = fc.array(fc.constantFrom('history', 'alarms', undefined), { minLength: 3, maxLength: 3 });
const anyStep: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant('write' as const), routes }),
  fc.record({ kind: fc.constant('read' as const), at: daemon }),
  fc.record({ kind: fc.constant('restart' as const), at: daemon }),
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('fetch' as const), at: daemon, from: daemon }) },
);

/** A route that changes and is reverted, while daemon 0 misses the version in between. */
const REVERTED_ROUTE: Step[] = [
  { kind: 'write', routes: ['history', 'history', undefined] },
  { kind: 'read', at: 0 },
  { kind: 'read', at: 1 },
  { kind: 'write', routes: ['alarms', 'history', undefined] },
  { kind: 'read', at: 1 },
  { kind: 'write', routes: ['history', 'history', 'alarms'] },
  { kind: 'read', at: 0 },
  { kind: 'fetch', at: 1, from: 0 },
];
/** A route that is removed before daemon 0 restarts. */
const REMOVED_ROUTE: Step[] = [
  { kind: 'write', routes: ['history', 'alarms', undefined] },
  { kind: 'read', at: 0 },
  { kind: 'read', at: 1 },
  { kind: 'write', routes: ['history', undefined, undefined] },
  { kind: 'restart', at: 0 },
  { kind: 'read', at: 0 },
  { kind: 'fetch', at: 1, from: 0 },
];

describe('the content of a configuration', () => {
  it('is that of its generation at every daemon, whichever versions it missed and wherever it fetched them', () => {
    fc.assert(
      fc.property(fc.array(anyStep, { maxLength: MAX_STEPS }), steps => expectContentOfGeneration(steps)),
      { numRuns: HISTORIES, examples: [[REVERTED_ROUTE], [REMOVED_ROUTE]] },
    );
  });

  describe('in the response of a peer', () => {
    let requester: Configuration<Sections>;
    let responder: Configuration<Sections>;

    beforeEach(() => {
      requester = newDaemon();
      responder = newDaemon();
      for (const each of [requester, responder]) read(each, 1, ['history', 'history']);
    });

    it('is the difference if both have had the same content', () => {
      read(responder, 2, ['history', 'alarms']);
      const { sections } = responder.createResponse(requester.createRequest());
      expect(sections).to.deep.equal([{ name: 'route:1', content: 'alarms' }]);
    });

    it('is the full content if the peer has never had that of the requesting daemon', () => {
      read(requester, 2, ['alarms', 'alarms']);
      read(responder, 3, ['history', 'alarms']);
      const response = responder.createResponse(requester.createRequest());
      expect(response.sections).to.have.length(3);
      expect(requester.adoptResponse(response, 'peer')).to.equal(true);
      expect(requester.digest).to.equal(responder.digest);
    });

    it('is rejected if the result does not have the digest of the response', () => {
      read(responder, 2, ['history', 'alarms']);
      const response = { ...responder.createResponse(requester.createRequest()), sections: [] };
      expect(() => requester.adoptResponse(response, 'peer')).to.throw('Generation 2 of peer');
      expect(requester.generation).to.equal(1);
    });

    it('is ignored if the requesting daemon has other content by then', () => {
      read(responder, 3, ['history', 'alarms']);
      const response = responder.createResponse(requester.createRequest());
      read(requester, 2, ['alarms', 'alarms']);
      expect(requester.adoptResponse(response, 'peer')).to.equal(false);
    });

    it('has the same digest for each order of its sections', () => {
      const reversed = new Map([...sectionsOf(['history', 'history'])].reverse());
      const other = newDaemon();
      other.adoptContent(1, reversed, 'platform');
      expect(other.digest).to.equal(responder.digest);
    });
  });

  describe('that differs within one generation', () => {
    it('is replaced by that of the platform', () => {
      const daemon = newDaemon();
      read(daemon, 1, ['history']);
      expect(read(daemon, 1, ['alarms'])).to.equal(true);
      expect(daemon.active).to.deep.equal(sectionsOf(['alarms']));
      expect(read(daemon, 1, ['alarms'])).to.equal(false);
    });

    it('is not adopted from a peer', () => {
      const daemon = newDaemon();
      read(daemon, 1, ['history']);
      expect(daemon.adoptContent(1, sectionsOf(['alarms']), 'peer')).to.equal(false);
    });
  });
});

/** Adopts a version as read from the platform. */
function read(
  daemon: Configuration<Sections>,
  generation: number,
  services: readonly (string | undefined)[],
): boolean {
  return daemon.adoptContent(generation, sectionsOf(services), 'platform');
}

function expectContentOfGeneration(steps: readonly Step[]): void {
  const written: Sections[] = [];
  const daemons = Array.from({ length: DAEMONS }, newDaemon);
  for (const step of steps) {
    runStep(step, daemons, written);
    for (const { generation, active } of daemons) {
      if (generation > 0) expect(active).to.deep.equal(written[generation - 1]);
    }
  }
}

function runStep(step: Step, daemons: Configuration<Sections>[], written: Sections[]): void {
  switch (step.kind) {
    case 'write':
      written.push(sectionsOf(step.routes));
      break;
    case 'read':
      if (written.length > 0) daemons[step.at]!.adoptContent(written.length, written.at(-1)!, 'platform');
      break;
    case 'restart':
      daemons[step.at] = newDaemon();
      break;
    case 'fetch': {
      const [requester, responder] = [daemons[step.at]!, daemons[step.from]!];
      requester.adoptResponse(responder.createResponse(requester.createRequest()), 'peer');
    }
  }
}

function newDaemon(): Configuration<Sections> {
  return new Configuration(
    new ManualClock(),
    sections => sections,
    () => undefined,
  );
}

function sectionsOf(services: readonly (string | undefined)[]): Sections {
  const entries = services.flatMap((service, i) =>
    service === undefined ? [] : [[`route:${String(i)}`, service] as const],
  );
  return new Map([['general', '{}'], ...entries]);
}
