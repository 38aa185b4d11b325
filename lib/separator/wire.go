package separator

import "radishweir.org/lib/wire"

// ToWire returns the samples as sent to peers, at most as many as Drain returns.
func ToWire(list []Sample) []*wire.Interference {
	list = list[:min(len(list), maxSamples)]
	out := make([]*wire.Interference, len(list))
	for i, m := range list {
		out[i] = &wire.Interference{Kind: m.Kind, Beside: m.Beside, Runs: m.Runs, Sum: m.Sum, SumOfSquares: m.SumOfSquares}
	}
	return out
}

// FromWire returns the samples that a peer sent, at most as many as ToWire sends.
func FromWire(list []*wire.Interference) []Sample {
	list = list[:min(len(list), maxSamples)]
	out := make([]Sample, len(list))
	for i, m := range list {
		out[i] = Sample{Kind: m.GetKind(), Beside: m.GetBeside(), Runs: m.GetRuns(), Sum: m.GetSum(), SumOfSquares: m.GetSumOfSquares()}
	}
	return out
}
