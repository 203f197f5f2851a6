/** A daemon's share of the processor: whether it is short of time, when it starts requests, and what its time is spent on. */
import { ProcessorPressure } from '@cleatquay/admission';
import { RequestScheduler } from '@cleatquay/calls';
import { type Clock } from '@cleatquay/clock';
import { type LogLine } from './boundedLog.js';
import { HeapActivity } from './heapActivity.js';
import { type Metrics } from './metrics.js';
import { PressureLog } from './pressureLog.js';
import { ProcessorTime, ProcessorTimeLog } from './processorTime.js';

/** Dependencies. */
export interface ProcessorOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: LogLine;
  /** Number of priority classes. */
  readonly classes: () => number;
  /** The measurement that the clock's timers run through, too; a new one by default. */
  readonly time: ProcessorTime | undefined;
}

/** Follows the processor time of one daemon. */
export class Processor implements Disposable {
  readonly pressure: ProcessorPressure;
  readonly scheduler: RequestScheduler;
  readonly time: ProcessorTime;
  readonly heap = new HeapActivity();
  private readonly timeLog: ProcessorTimeLog;

  constructor({ clock, metrics, log, classes, time = new ProcessorTime() }: ProcessorOptions) {
    const pressureLog = new PressureLog(clock, log);
    this.pressure = new ProcessorPressure(
      clock,
      classes,
      () => this.scheduler.waitMs(),
      (lagMs, isLagging) => pressureLog.addSample(lagMs, isLagging),
    );
    this.scheduler = new RequestScheduler(clock, () => this.pressure.isLagging);
    this.time = time;
    this.timeLog = new ProcessorTimeLog({ clock, processorTime: time, heap: this.heap, metrics, log });
  }

  /** Logs what processor time was spent on since the start of the process. */
  logTotals(): Promise<void> {
    return this.timeLog.logTotals();
  }

  [Symbol.dispose](): void {
    this.pressure[Symbol.dispose]();
    this.timeLog[Symbol.dispose]();
    this.heap[Symbol.dispose]();
  }
}
