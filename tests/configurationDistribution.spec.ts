import { ManualClock } from '@cleatquay/clock';
import { Configuration, ConfigurationDistribution, Freshness, type Sections } from '@cleatquay/configuration';
import { type ConfigurationAnswer, type ConfigurationRequest } from '@cleatquay/protocol';
import { expect } from 'chai';

const OLD: Sections = new Map([['general', '{}']]);
const NEW: Sections = new Map([['general', '{"new":true}']]);
const HOLDER = 'holder';
const OTHERS = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
const STEP_MS = 10;

type Peer = (request: ConfigurationRequest) => Promise<ConfigurationAnswer>;

describe('a version that few peers have', () => {
  let clock: ManualClock;
  let configuration: Configuration<Sections>;
  let peers: Map<string, Peer>;
  let requestedPeers: string[];
  let mismatches: string[];
  let distribution: ConfigurationDistribution;

  const configurationOf = (generation: number, sections: Sections) => {
    const daemon = new Configuration<Sections>(
      clock,
      s => s,
      () => undefined,
    );
    daemon.adoptContent(generation, sections, 'platform');
    return daemon;
  };
  const peerOf = (daemon: Configuration<Sections>): Peer => {
    return request => Promise.resolve(daemon.createResponse(request));
  };
  const newest = () => configurationOf(2, NEW);

  beforeEach(() => {
    clock = new ManualClock();
    configuration = configurationOf(1, OLD);
    requestedPeers = [];
    mismatches = [];
    peers = new Map(OTHERS.map(name => [name, peerOf(configurationOf(1, OLD))]));
    distribution = new ConfigurationDistribution({
      clock,
      random: () => 0.5,
      configuration,
      store: undefined,
      freshness: new Freshness(clock, configuration),
      isReader: () => false,
      onReachability: () => undefined,
      fetch: (peer, request) => {
        requestedPeers.push(peer);
        return peers.get(peer)!(request);
      },
      // Peers in the same failure domain are queried first, although they have not announced it.
      fetchOrder: holders => ['a', 'b', ...holders],
      fetchDelayMs: () => 0,
      onDigestMismatch: peer => mismatches.push(peer),
      onPeerFailure: () => undefined,
    });
  });

  afterEach(() => distribution[Symbol.asyncDispose]());

  const advance = async (ms: number) => {
    for (let left = ms; left > 0; left -= STEP_MS) {
      clock.advance(STEP_MS);
      await new Promise(resolve => setImmediate(resolve));
    }
  };
  const announce = (peer: string, daemon = newest()) => distribution.handleAnnouncement(daemon, peer);

  it('is fetched from the peer that has announced it, and not from random peers', async () => {
    peers.set(HOLDER, peerOf(newest()));
    announce(HOLDER);
    await advance(100);
    expect(configuration.active).to.deep.equal(NEW);
    expect(requestedPeers).to.deep.equal(['a', 'b', HOLDER]);
  });

  it('is fetched from the next peer if one does not respond within a quarter of a second', async () => {
    peers.set('unresponsive', () => new Promise(() => undefined));
    peers.set(HOLDER, peerOf(newest()));
    announce('unresponsive');
    announce(HOLDER);
    await advance(400);
    expect(configuration.active).to.deep.equal(NEW);
  });

  it('is fetched again from a peer that was unreachable, as soon as that announces it again', async () => {
    peers.set(HOLDER, () => Promise.reject(new Error('unreachable')));
    announce(HOLDER);
    await advance(1000);
    const before = requestedPeers.length;
    await advance(5000);
    expect(requestedPeers, 'a peer that announces nothing gets no request').to.have.length(before);
    peers.set(HOLDER, peerOf(newest()));
    announce(HOLDER);
    await advance(400);
    expect(configuration.active).to.deep.equal(NEW);
  });

  describe('with other content under the same generation', () => {
    const other = () => configurationOf(2, OLD);

    beforeEach(() => {
      configuration.adoptResponse(newest().createResponse(configuration.createRequest()), HOLDER);
    });

    it('is reported as a digest mismatch, once', () => {
      announce('a', newest());
      expect(mismatches).to.deep.equal([]);
      announce('a', other());
      announce('b', other());
      expect(mismatches).to.deep.equal(['a']);
    });

    it('is not reported if the platform has confirmed the active content', () => {
      configuration.adoptContent(2, NEW, 'platform');
      announce('a', other());
      expect(mismatches).to.deep.equal([]);
    });
  });
});
