import { ManualClock } from '@cleatquay/clock';
import { Configuration, ConfigurationSpread, Freshness, type Sections } from '@cleatquay/configuration';
import { type ConfigurationAnswer, type ConfigurationRequest } from '@cleatquay/protocol';
import { expect } from 'chai';

const OLD: Sections = new Map([['general', '{}']]);
const NEW: Sections = new Map([['general', '{"new":true}']]);
const HOLDER = 'holder';
const OTHERS = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
const STEP_MS = 10;

type Peer = (question: ConfigurationRequest) => Promise<ConfigurationAnswer>;

describe('a version that few peers have', () => {
  let clock: ManualClock;
  let configuration: Configuration<Sections>;
  let peers: Map<string, Peer>;
  let asked: string[];
  let doubts: string[];
  let spread: ConfigurationSpread;

  const having = (generation: number, sections: Sections) => {
    const daemon = new Configuration<Sections>(
      clock,
      s => s,
      () => undefined,
    );
    daemon.adoptWhole(generation, sections, 'platform');
    return daemon;
  };
  const told = (daemon: Configuration<Sections>): Peer => {
    return question => Promise.resolve(daemon.answer(question));
  };
  const newest = () => having(2, NEW);

  beforeEach(() => {
    clock = new ManualClock();
    configuration = having(1, OLD);
    asked = [];
    doubts = [];
    peers = new Map(OTHERS.map(name => [name, told(having(1, OLD))]));
    spread = new ConfigurationSpread({
      clock,
      random: () => 0.5,
      configuration,
      store: undefined,
      freshness: new Freshness(clock, configuration),
      isReader: () => false,
      onReach: () => undefined,
      fetch: (peer, question) => {
        asked.push(peer);
        return peers.get(peer)!(question);
      },
      // Those that are near are asked first, though they did not say that they have it.
      inOrder: holders => ['a', 'b', ...holders],
      patienceMs: () => 0,
      onDoubt: peer => doubts.push(peer),
      onPeerFailure: () => undefined,
    });
  });

  afterEach(() => spread[Symbol.asyncDispose]());

  const pass = async (ms: number) => {
    for (let left = ms; left > 0; left -= STEP_MS) {
      clock.advance(STEP_MS);
      await new Promise(resolve => setImmediate(resolve));
    }
  };
  const hear = (peer: string, daemon = newest()) => spread.heard(daemon, peer);

  it('is asked for where it is, and not at random', async () => {
    peers.set(HOLDER, told(newest()));
    hear(HOLDER);
    await pass(100);
    expect(configuration.inForce).to.deep.equal(NEW);
    expect(asked).to.deep.equal(['a', 'b', HOLDER]);
  });

  it('is asked for at the next one when a peer does not answer for a quarter of a second', async () => {
    peers.set('silent', () => new Promise(() => undefined));
    peers.set(HOLDER, told(newest()));
    hear('silent');
    hear(HOLDER);
    await pass(400);
    expect(configuration.inForce).to.deep.equal(NEW);
  });

  it('is asked for once more when its holder could not be reached, as soon as that is heard again', async () => {
    peers.set(HOLDER, () => Promise.reject(new Error('away')));
    hear(HOLDER);
    await pass(1000);
    const before = asked.length;
    await pass(5000);
    expect(asked, 'who is not heard is not asked').to.have.length(before);
    peers.set(HOLDER, told(newest()));
    hear(HOLDER);
    await pass(400);
    expect(configuration.inForce).to.deep.equal(NEW);
  });

  describe('under the number of another content', () => {
    const other = () => having(2, OLD);

    beforeEach(() => {
      configuration.adoptAnswer(newest().answer(configuration.question()), HOLDER);
    });

    it('raises a doubt, once', () => {
      hear('a', newest());
      expect(doubts).to.deep.equal([]);
      hear('a', other());
      hear('b', other());
      expect(doubts).to.deep.equal(['a']);
    });

    it('raises none where the platform has told which is right', () => {
      configuration.adoptWhole(2, NEW, 'platform');
      hear('a', other());
      expect(doubts).to.deep.equal([]);
    });
  });
});
