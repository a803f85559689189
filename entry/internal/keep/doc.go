// Package keep is the controller that replicates the logs of generations.
//
// Its desired state is that the prompt and tokens of each costly generation
// are replicated to a peer, the generation's keeper, if possible in another
// failure domain, so that the generation survives the loss of its engine and
// of its instance; and that no abandoned generation keeps running at an engine.
package keep
