import { EventEmitter, once } from 'node:events';
import { connect } from 'node:net';
import { PlatformFleet, routeTo } from './fixtures/platformFleet.js';

/** Opens idle connections one after the other until one is refused. */
function openUntilRefused(address: string): { opened: Promise<unknown>; refused: Promise<unknown> } {
  const [host, port] = address.split(':');
  const events = new EventEmitter();
  const next = () => {
    let isOpen = false;
    const socket = connect({ host: host!, port: Number(port) });
    socket.once('connect', () => {
      isOpen = true;
      events.emit('opened');
      setImmediate(next);
    });
    socket.on('error', () => undefined);
    socket.once('close', () => isOpen || events.emit('refused'));
  };
  next();
  return { opened: once(events, 'opened'), refused: once(events, 'refused') };
}

describe('a daemon that shuts down', () => {
  let fleet: PlatformFleet;

  beforeEach(async () => {
    fleet = await PlatformFleet.start([{ service: 'history' }], [routeTo('history')]);
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  it('does not wait for callers that connect meanwhile and send nothing', async () => {
    const [node] = fleet.nodes.splice(0, 1);
    const { daemon, upstream, store } = node!;
    const { opened, refused } = openUntilRefused(daemon.addresses.get('callers')!);
    await opened;
    await daemon[Symbol.asyncDispose]();
    await refused;
    await upstream[Symbol.asyncDispose]();
    await store[Symbol.asyncDispose]();
  });
});
