/**
 * What requests cost in memory: how often the garbage collector ran, how many bytes were allocated in the young generation, and how many of these
 * lived long enough to be moved to the old one, where only a collection of the whole heap frees them. V8 does not tell a process how long it
 * compiles; the size of its machine code stands for that. Its statistics of all code walk the heap, and take too long.
 */
import { type PerformanceEntry, PerformanceObserver, constants } from 'node:perf_hooks';
import { getHeapSpaceStatistics } from 'node:v8';

/** The kinds of collections that are told apart: of the young generation, of the whole heap, and steps of the latter. */
export type CollectionKind = 'scavenge' | 'mark-compact' | 'step';

/** Sizes of the heap, in bytes. */
export interface HeapSizes {
  /** Bytes in use in the young generation. */
  readonly young: number;
  /** Bytes that fit into it between two collections. */
  readonly youngCapacity: number;
  /** Bytes in use in the old generation. */
  readonly old: number;
}

/** Sources of the figures. */
export interface HeapSources {
  readonly sizes: () => HeapSizes;
  /** Size of machine code, bytes. */
  readonly compiledBytes: () => number;
  /** Calls back after each collection, or some of them together. Disposing stops that. */
  readonly onCollections: (listener: (kinds: readonly CollectionKind[]) => void) => Disposable;
}

/** Totals since the start of the process. */
export interface HeapTotals {
  readonly scavenges: number;
  readonly markCompacts: number;
  /** Allocated in the young generation until its latest collection. */
  readonly allocatedBytes: number;
  /** By which the old generation grew between collections of the whole heap: mostly what was moved to it. */
  readonly promotedBytes: number;
  readonly compiledBytes: number;
}

/** The heap of this process. */
export const PROCESS_HEAP: HeapSources = {
  sizes: () => {
    const spaces = getHeapSpaceStatistics();
    const young = spaces.find(space => space.space_name === 'new_space');
    const old = spaces.find(space => space.space_name === 'old_space');
    const youngBytes = young?.space_used_size ?? 0;
    return {
      young: youngBytes,
      youngCapacity: youngBytes + (young?.space_available_size ?? 0),
      old: old?.space_used_size ?? 0,
    };
  },
  compiledBytes: () => {
    const code = getHeapSpaceStatistics().find(space => space.space_name === 'code_space');
    return code?.space_used_size ?? 0;
  },
  onCollections: listener => {
    const observer = new PerformanceObserver(list => listener(list.getEntries().map(kindOf)));
    observer.observe({ entryTypes: ['gc'] });
    return { [Symbol.dispose]: () => observer.disconnect() };
  },
};

function kindOf(entry: PerformanceEntry): CollectionKind {
  const kind = (entry as { detail?: { kind?: number } }).detail?.kind;
  if (kind === constants.NODE_PERFORMANCE_GC_MINOR) return 'scavenge';
  return kind === constants.NODE_PERFORMANCE_GC_MAJOR ? 'mark-compact' : 'step';
}

/** Follows the collections of one process. */
export class HeapActivity implements Disposable {
  private scavenges = 0;
  private markCompacts = 0;
  private allocatedBytes = 0;
  private promotedBytes = 0;
  /** Sizes after the latest collection. */
  private latest: HeapSizes;
  private readonly subscription: Disposable;

  constructor(private readonly sources = PROCESS_HEAP) {
    this.latest = sources.sizes();
    this.subscription = sources.onCollections(kinds => this.recordCollections(kinds));
  }

  get totals(): HeapTotals {
    const { scavenges, markCompacts, allocatedBytes, promotedBytes } = this;
    return {
      scavenges,
      markCompacts,
      allocatedBytes,
      promotedBytes,
      compiledBytes: this.sources.compiledBytes(),
    };
  }

  [Symbol.dispose](): void {
    this.subscription[Symbol.dispose]();
  }

  private recordCollections(kinds: readonly CollectionKind[]): void {
    const { latest } = this;
    const sizes = this.sources.sizes();
    const scavenges = kinds.filter(kind => kind === 'scavenge').length;
    const markCompacts = kinds.filter(kind => kind === 'mark-compact').length;
    this.scavenges += scavenges;
    this.markCompacts += markCompacts;
    this.allocatedBytes += scavenges * Math.max(0, latest.youngCapacity - latest.young);
    // A collection of the whole heap frees more than was moved before it.
    if (markCompacts === 0) this.promotedBytes += Math.max(0, sizes.old - latest.old);
    this.latest = sizes;
  }
}
